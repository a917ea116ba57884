// Package quota keeps track of the rate limits that targets name in their replies. A limit is the number of requests per second
// that a target takes from all processes of the fleet together. The package does no I/O and reads no clock.
//
// # Usage
//
//	limit, named, err := quota.ParseLimit(header.Values("Server-Limit"))
//	changed := limits.Record("target-1", quota.Statement{Sent: sent, Received: now, Named: named, Limit: limit})
//	limit, named = limits.Limit("target-1")
//
// A limit holds until a newer reply of the same target names another one or none. Replies may arrive out of order.
package quota
