package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/caller"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// maxShownHits is the number of hits that the text output lists; --json prints all of them.
const maxShownHits = 5

// callerClient is the part of caller.Client that the commands query and order use. If no answer arrives, the methods return
// an error together with an answer that the client has filled in itself.
type callerClient interface {
	Query(ctx context.Context, q wire.Query) (wire.Answer, error)
	Order(ctx context.Context, o wire.Order) (wire.OrderAnswer, error)
}

// callOptions holds the options that the commands query and order have in common.
type callOptions struct {
	Addr       []string      `long:"addr" value-name:"ADDR" required:"true" env:"FUCHSIARELAY_ADDR" env-delim:"," description:"caller address of an entry process; repeatable"`
	Service    string        `long:"service" value-name:"NAME" required:"true" description:"service to ask"`
	Class      string        `long:"class" value-name:"NAME" required:"true" description:"class rule that applies"`
	Tenant     string        `long:"tenant" value-name:"NAME" required:"true" description:"customer on whose behalf"`
	DataCentre string        `long:"data-centre" value-name:"NAME" description:"data centre whose entry processes are asked first"`
	Deadline   time.Duration `long:"deadline" value-name:"DURATION" description:"deadline of the request; by default that of the class"`
	RequestID  string        `long:"request-id" value-name:"ID" description:"repeated in answers and logs; by default random"`
	Timeout    time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"wait for an answer, over all addresses"`
	JSON       bool          `long:"json" description:"print the whole answer as JSON"`
}

// newClient checks the options, generates a request id if none is given, and returns a client and a function that closes the
// client.
func (o *callOptions) newClient() (callerClient, func(), error) {
	seeds := make([]netip.AddrPort, len(o.Addr))
	for i, addr := range o.Addr {
		var err error
		if seeds[i], err = netip.ParseAddrPort(addr); err != nil {
			return nil, nil, usageError("--addr: expected an IP number with a port such as 10.0.0.7:8080, found %q", addr)
		}
	}
	if o.Deadline < 0 || o.Deadline > 0 && o.Deadline < time.Millisecond {
		return nil, nil, usageError("--deadline: expected at least 1ms, found %s", o.Deadline)
	}
	if o.Timeout <= 0 {
		return nil, nil, usageError("--timeout: expected more than 0s, found %s", o.Timeout)
	}
	if o.RequestID == "" {
		o.RequestID = "cli-" + strings.ToLower(rand.Text()[:12])
	}
	c, closeClient := caller.New(seeds)
	c.DataCentre = o.DataCentre
	return c, closeClient, nil
}

type queryCommand struct {
	app *app
	callOptions
	MinCoverage float64 `long:"min-coverage" value-name:"0..1" default:"-1" default-mask:"that of the class" description:"refuse an answer below this coverage"`
	Args        struct {
		Text string `positional-arg-name:"TEXT" description:"query text"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *queryCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	client, closeClient, err := c.newClient()
	if err != nil {
		return err
	}
	defer closeClient()
	q := wire.Query{
		RequestID: c.RequestID, Service: c.Service, Class: c.Class, Tenant: c.Tenant, DeadlineMS: c.Deadline.Milliseconds(), Text: c.Args.Text,
	}
	switch {
	case c.MinCoverage >= 0 && c.MinCoverage <= 1:
		q.MinCoverage = &c.MinCoverage
	case c.MinCoverage != -1: // -1 is the default: the option was not given
		return usageError("--min-coverage: expected 0 to 1, found %v", c.MinCoverage)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := time.Now()
	answer, clientErr := client.Query(ctx, q)
	if c.JSON {
		err = printJSON(c.app.stdout, answer)
	} else {
		answer.Message = answerMessage(answer.Status, clientErr)
		printAnswer(c.app.stdout, answer, time.Since(start))
	}
	return callError(answer.Code, clientErr, err)
}

// printAnswer prints the answer to a query as text.
func printAnswer(w io.Writer, a wire.Answer, elapsed time.Duration) {
	printCallStatus(w, a.Status, elapsed)
	if a.Ran == codes.NotRun || a.IndexVersion == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "coverage: %.4g%% (%d of %d documents)\n", 100*a.Coverage, a.DocumentsCovered, a.DocumentsTotal)
	_, _ = fmt.Fprintf(w, "index version: %d (partition generation %d)\n", a.IndexVersion, a.PartitionGeneration)
	_, _ = fmt.Fprintf(w, "hits: %d\n", len(a.Hits))
	for i, h := range a.Hits {
		if i == maxShownHits {
			_, _ = fmt.Fprintf(w, "  ... %d more; --json prints all\n", len(a.Hits)-maxShownHits)
			break
		}
		_, _ = fmt.Fprintf(w, "  shard %d: %s %s\n", h.Shard, h.ID, h.Body)
	}
}

// printCallStatus prints the status of the answer to a query or an order.
func printCallStatus(w io.Writer, s wire.Status, elapsed time.Duration) {
	_, _ = fmt.Fprintf(w, "%d %s (%s), %d ms, request %s\n", s.Code, s.Name, strings.ReplaceAll(string(s.Ran), "_", " "), elapsed.Milliseconds(), s.RequestID)
	if s.Message != "" {
		_, _ = fmt.Fprintln(w, s.Message)
	}
	if s.RuleLine > 0 {
		_, _ = fmt.Fprintf(w, "decided by line %d of the rules file\n", s.RuleLine)
	}
	if s.RetryAfterMS > 0 {
		_, _ = fmt.Fprintf(w, "retry in %d ms or later\n", s.RetryAfterMS)
	}
}

type orderCommand struct {
	app *app
	callOptions
	Key  string `long:"key" value-name:"KEY" required:"true" description:"selects the shard and thereby the target"`
	Args struct {
		Body string `positional-arg-name:"BODY" description:"what to order"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *orderCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	client, closeClient, err := c.newClient()
	if err != nil {
		return err
	}
	defer closeClient()
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	start := time.Now()
	answer, clientErr := client.Order(ctx, wire.Order{
		RequestID: c.RequestID, Service: c.Service, Class: c.Class, Tenant: c.Tenant, Key: c.Key,
		DeadlineMS: c.Deadline.Milliseconds(), Body: c.Args.Body,
	})
	if c.JSON {
		err = printJSON(c.app.stdout, answer)
	} else {
		answer.Message = answerMessage(answer.Status, clientErr)
		printCallStatus(c.app.stdout, answer.Status, time.Since(start))
		if answer.Result != "" {
			_, _ = fmt.Fprintf(c.app.stdout, "result: %s\n", answer.Result)
		}
		if answer.Ran == codes.Unknown {
			_, _ = fmt.Fprintln(c.app.stdout, "The order may have run: look it up in your own records before placing it again.")
		}
	}
	return callError(answer.Code, clientErr, err)
}

// answerMessage returns the message of s that is printed to standard output. The message is empty if no answer arrived, because
// the error of the client is then printed to standard error.
func answerMessage(s wire.Status, clientErr error) string {
	if clientErr != nil {
		return ""
	}
	return s.Message
}

// callError returns the error with which the command query or order ends. The parameter clientErr is the error of the client,
// and printErr the error of printing the answer as JSON.
func callError(code codes.Code, clientErr, printErr error) error {
	if printErr != nil {
		return printErr
	}
	if clientErr != nil {
		return &exitError{exitCode(code), fmt.Errorf("no answer arrived: %s", codes.Message(clientErr))}
	}
	return resultError(code)
}
