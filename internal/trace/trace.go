// Package trace defines the steps of a request and of a configuration change. The packages that process them call a
// function of type Func at each step, so that logs and tests can follow a request or a change.
//
// # Usage
//
//	cfg.Trace.Report(trace.Sent, requestID)   // a nil Func does nothing
package trace

// Step is one step in the processing of a request or of a configuration change.
type Step string

// Steps of a request, in order.
const (
	AddressRequested Step = "address asked" // a caller has requested the addresses of entry processes
	Accepted         Step = "accepted"      // the request was received and decoded
	Planned          Step = "planned"       // the first sub-requests, or a target of the order, are chosen, but nothing is sent yet
	Queued           Step = "queued"        // a sub-request or an order is in the queue of a dispatcher
	Sent             Step = "sent"          // just before a sub-request or an order is written to its target
	PartlyAnswered   Step = "half answered" // a sub-request has ended, but the answer to the caller isn't ready
	Merged           Step = "merged"        // the answer to the caller is ready
	Answered         Step = "answered"      // just before the answer is written to the caller
)

// Steps of a configuration change, in order.
const (
	Published Step = "published" // the platform has published a document
	Read      Step = "read"      // a process has read a newer document from the platform
	Forwarded Step = "passed on" // a process has sent the document, or announced it, to its peers
	Applied   Step = "applied"   // the document is in force in a process
)

// RequestSteps lists the steps of a request in order.
var RequestSteps = []Step{AddressRequested, Accepted, Planned, Queued, Sent, PartlyAnswered, Merged, Answered}

// ConfigurationSteps lists the steps of a configuration change in order.
var ConfigurationSteps = []Step{Published, Read, Forwarded, Applied}

// Func is called when a request or a configuration document reaches a step. The id is the request id or the key of the
// document, and empty for AddressRequested.
type Func func(step Step, id string)

// Report calls f, or does nothing if f is nil.
func (f Func) Report(step Step, id string) {
	if f != nil {
		f(step, id)
	}
}
