// Package codes defines the numbered result codes of answers.
//
// The thousands digit states whether a target executed the request:
//
//	1xxx  executed; the answer holds its result
//	2xxx  refused; certainly not executed
//	3xxx  executed, but failed
//	4xxx  unknown; the request may or may not have been executed
//
// # Usage
//
//	err := codes.New(codes.Overloaded, "queue of target %s is full", id)
//	codes.Of(err)           // codes.Overloaded
//	codes.Overloaded.Ran()  // codes.NotRun
//
// A test checks that the table in docs/result-codes.md equals All.
package codes

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// Code is the number of a result code.
type Code int

// Ran states whether a target executed a request.
type Ran string

// Values of Ran.
const (
	NotRun  Ran = "not_run"
	Did     Ran = "ran"
	Unknown Ran = "unknown"
)

// Result codes. The numbers are part of the caller protocol, so the meaning of a number never changes.
const (
	Complete Code = 1000
	Partial  Code = 1001
	Executed Code = 1002

	BadRequest       Code = 2000
	TooLarge         Code = 2001
	UnknownService   Code = 2002
	UnknownClass     Code = 2003
	Excluded         Code = 2004
	Quarantined      Code = 2005
	Overloaded       Code = 2006
	Stopping         Code = 2007
	StaleView        Code = 2008
	DeadlineTooShort Code = 2009
	NoTarget         Code = 2010
	TokenInvalid     Code = 2011
	TokenExpired     Code = 2012
	TenantLimit      Code = 2013
	Starting         Code = 2014
	TargetRefused    Code = 2015
	NotConnected     Code = 2016
	NotDispatcher    Code = 2017
	Canceled         Code = 2018

	TargetFailed     Code = 3000
	CoverageTooLow   Code = 3001
	DeadlineExceeded Code = 3002
	SnapshotLost     Code = 3003

	OutcomeUnknown  Code = 4000
	IssuerGone      Code = 4001
	DeadlineRunning Code = 4002
)

// Info describes one result code.
type Info struct {
	Code   Code
	Name   string // in snake_case
	Status int    // HTTP status of the response to the caller
	Text   string // meaning of the code, as printed in docs/result-codes.md
}

// All lists every code in ascending order.
var All = []Info{
	{Complete, "complete", http.StatusOK, "Every document of the pinned snapshot was searched."},
	{Partial, "partial", http.StatusOK, "Part of the snapshot was searched; coverage states how much."},
	{Executed, "executed", http.StatusOK, "The order was executed once."},
	{BadRequest, "bad_request", http.StatusBadRequest, "The request is malformed."},
	{TooLarge, "too_large", http.StatusRequestEntityTooLarge, "The request exceeds a size limit."},
	{UnknownService, "unknown_service", http.StatusNotFound, "No such service is published."},
	{UnknownClass, "unknown_class", http.StatusBadRequest, "No rule defines this class."},
	{Excluded, "excluded", http.StatusServiceUnavailable, "Rules exclude everything that could serve the request."},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, "The request is quarantined because it crashed targets."},
	{Overloaded, "overloaded", http.StatusTooManyRequests, "No capacity is left for this class."},
	{Stopping, "stopping", http.StatusServiceUnavailable, "The process is stopping and takes no new work of this kind."},
	{StaleView, "stale_view", http.StatusServiceUnavailable, "The process is cut off and can't know the current configuration."},
	{DeadlineTooShort, "deadline_too_short", http.StatusServiceUnavailable, "The remaining time is shorter than the expected service time."},
	{NoTarget, "no_target", http.StatusServiceUnavailable, "No target is available for the request."},
	{TokenInvalid, "token_invalid", http.StatusBadRequest, "The order token is malformed or was never issued."},
	{TokenExpired, "token_expired", http.StatusGone, "The order token expired before it was used."},
	{TenantLimit, "tenant_limit", http.StatusTooManyRequests, "The tenant has reached its limit of requests in flight."},
	{Starting, "starting", http.StatusServiceUnavailable, "The process has just started and holds no confirmed configuration."},
	{TargetRefused, "target_refused", http.StatusServiceUnavailable, "The target refused the request before running it."},
	{NotConnected, "not_connected", http.StatusServiceUnavailable, "No connection to the target could be opened; nothing was sent."},
	{NotDispatcher, "not_dispatcher", http.StatusServiceUnavailable, "The process may not send to this target now."},
	{Canceled, "canceled", http.StatusServiceUnavailable, "The work was canceled before it was sent."},
	{TargetFailed, "target_failed", http.StatusBadGateway, "The target ran the request and failed."},
	{CoverageTooLow, "coverage_too_low", http.StatusBadGateway, "The coverage reached is below the minimum of the class."},
	{DeadlineExceeded, "deadline_exceeded", http.StatusGatewayTimeout, "The deadline passed before enough of the answer arrived."},
	{SnapshotLost, "snapshot_lost", http.StatusBadGateway, "No single index version could be read."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, "The connection was lost after the order was sent."},
	{IssuerGone, "issuer_gone", http.StatusBadGateway, "The process that issued the token can't be reached or was restarted."},
	{DeadlineRunning, "deadline_running", http.StatusGatewayTimeout, "The deadline passed while the order was running."},
}

// Name returns the snake_case name of the code, or "unnamed".
func (c Code) Name() string {
	if info, ok := c.info(); ok {
		return info.Name
	}
	return "unnamed"
}

// Status returns the HTTP status of the code, or 500 if the code is not in All.
func (c Code) Status() int {
	if info, ok := c.info(); ok {
		return info.Status
	}
	return http.StatusInternalServerError
}

// Ran states whether a request that ended with this code was executed. The result depends only on the thousands digit.
func (c Code) Ran() Ran {
	switch {
	case c >= 2000 && c < 3000:
		return NotRun
	case c >= 1000 && c < 4000:
		return Did
	default:
		return Unknown
	}
}

// OK reports whether an answer with this code holds a result.
func (c Code) OK() bool { return c >= 1000 && c < 2000 }

// info returns the entry of the code in All, and false if there is none.
func (c Code) info() (Info, bool) {
	for _, info := range All {
		if info.Code == c {
			return info, true
		}
	}
	return Info{}, false
}

var (
	namespace          = errorx.NewNamespace("fuchsiarelay")
	errorType          = namespace.NewType("failure")
	codeProperty       = errorx.RegisterPrintableProperty("code")
	retryAfterProperty = errorx.RegisterProperty("retry_after")
	ruleLineProperty   = errorx.RegisterProperty("rule_line")
)

// New returns an error that carries the result code c.
func New(c Code, format string, args ...any) error {
	return errorType.New(format, args...).WithProperty(codeProperty, c)
}

// NewAfter returns an error that carries the result code c and the delay after which the request may be sent again.
func NewAfter(c Code, after time.Duration, format string, args ...any) error {
	return errorType.New(format, args...).WithProperty(codeProperty, c).WithProperty(retryAfterProperty, after)
}

// NewByRule returns an error that carries the result code c and the line of the rule that caused the error.
func NewByRule(c Code, line int, format string, args ...any) error {
	return errorType.New(format, args...).WithProperty(codeProperty, c).WithProperty(ruleLineProperty, line)
}

// RuleLine returns the rule line that NewByRule stored in err, and 0 if there is none.
func RuleLine(err error) int {
	value, ok := errorx.ExtractProperty(err, ruleLineProperty)
	if !ok {
		return 0
	}
	line, ok := value.(int)
	if !ok {
		return 0
	}
	return line
}

// RetryAfter returns the delay that NewAfter stored in err, and 0 if there is none.
func RetryAfter(err error) time.Duration {
	value, ok := errorx.ExtractProperty(err, retryAfterProperty)
	if !ok {
		return 0
	}
	d, ok := value.(time.Duration)
	if !ok {
		return 0
	}
	return d
}

// Message returns the text of err without its code, for answers that hold the code in a field of its own.
func Message(err error) string {
	if e := errorx.Cast(err); e != nil {
		return e.Message()
	}
	return err.Error()
}

// Of returns the result code that err carries, and 0 if err carries none.
func Of(err error) Code {
	e := errorx.Cast(err)
	if e == nil {
		return 0
	}
	value, ok := e.Property(codeProperty)
	if !ok {
		return 0
	}
	c, ok := value.(Code)
	if !ok {
		return 0
	}
	return c
}
