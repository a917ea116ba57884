package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/admin"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

const (
	statusTimeout      = 5 * time.Second
	statusPollInterval = 100 * time.Millisecond
	maxAdminBody       = 16 << 20 // bytes; the description of about 10,000 targets
)

type statusCommand struct {
	app  *app
	Addr string        `long:"addr" value-name:"ADDR" required:"true" description:"admin_addr of the process"`
	JSON bool          `long:"json" description:"print JSON"`
	Wait time.Duration `long:"wait" value-name:"DURATION" description:"wait this long until the process serves and has its share of its targets"`
	All  bool          `long:"all" description:"list all targets, not only those that are blocked or draining"`
}

// processDescription is the JSON output of status: the answers of the administration API of one entry process.
type processDescription struct {
	Status  admin.Status   `json:"status"`
	Members []admin.Member `json:"members"`
	Targets []admin.Target `json:"targets"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(c.Addr); err != nil {
		return usageError("--addr: expected an address with a port such as 10.0.0.7:8082, found %q", c.Addr)
	}
	var d processDescription
	deadline := time.Now().Add(c.Wait)
	for {
		err := c.readDescription(&d)
		if err == nil && isReady(d.Status) || !time.Now().Before(deadline) {
			if err != nil {
				return err
			}
			break
		}
		time.Sleep(statusPollInterval)
	}
	var err error
	if c.JSON {
		err = printJSON(c.app.stdout, d)
	} else {
		printStatus(c.app.stdout, d, c.All)
	}
	if err == nil && (!d.Status.MaySend || c.Wait > 0 && !isReady(d.Status)) {
		err = &exitError{code: ExitFailure}
	}
	return err
}

// isReady reports whether the process takes new work and has a share of every target that takes work and of which it is the
// primary dispatcher, so that it may send to all of them.
func isReady(s admin.Status) bool { return s.MaySend && s.WithoutShare == 0 }

// readDescription reads the administration API into d.
func (c *statusCommand) readDescription(d *processDescription) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	*d = processDescription{}
	for _, endpoint := range []struct {
		path string
		dest any
	}{{admin.PathStatus, &d.Status}, {admin.PathMembers, &d.Members}, {admin.PathTargets, &d.Targets}} {
		if err := getJSON(ctx, c.Addr, endpoint.path, endpoint.dest); err != nil {
			return err
		}
	}
	return nil
}

// getJSON sends a GET request to the administration API at addr and decodes the JSON answer into dest.
func getJSON(ctx context.Context, addr, path string, dest any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s from %s: status %s", path, addr, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAdminBody)).Decode(dest); err != nil {
		return fmt.Errorf("decode %s from %s: %w", path, addr, err)
	}
	return nil
}

// printStatus prints d as text. If all is false, it lists only targets that are blocked or draining.
func printStatus(w io.Writer, d processDescription, all bool) {
	s := d.Status
	state := "serving"
	switch {
	case s.Stopping:
		state = "stopping, takes the work of callers that still hold its address"
	case !s.MaySend:
		state = "takes no new work: " + s.Reason
	}
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	printf("%s in %s: %s\n", s.VM, s.DataCentre, state)
	evidence := "no evidence"
	if s.EvidenceAgeMS >= 0 {
		evidence = fmt.Sprintf("evidence is %d ms old", s.EvidenceAgeMS)
	}
	printf("revisions: rules %d, vms %d, services %d; %s\n", s.Revisions.Rules, s.Revisions.VMs, s.Revisions.Services, evidence)
	printf("in flight: %d; quarantined: %s\n", s.InFlight, joinOrNone(s.Quarantined))
	var unreachable []string
	for _, m := range d.Members {
		if !m.Reachable {
			unreachable = append(unreachable, m.VM+" ("+m.DataCentre+")")
		}
	}
	printf("entry VMs: %d published, not reached: %s\n", len(d.Members), joinOrNone(unreachable))
	printTargets(printf, d, all)
}

// printTargets prints the totals of the targets, then one line per listed target.
func printTargets(printf func(format string, args ...any), d processDescription, all bool) {
	blocked, dispatched, unreported := 0, 0, 0
	states := map[target.State]int{}
	for _, t := range d.Targets {
		if t.Blocked != "" {
			blocked++
		}
		if t.Lane != nil {
			dispatched++
		}
		if t.Status.From == "" {
			unreported++
		} else {
			states[t.Status.State]++
		}
	}
	printf("targets: %d published, %d blocked, %d dispatched here, %d of them as primary\n", len(d.Targets), blocked, dispatched, d.Status.PrimaryOf)
	if n := d.Status.WithoutShare; n > 0 {
		printf("without a share yet: %d; shares grow for grow_delay after a start or a change\n", n)
	}
	// A target counts as cold until replies have shown that it is warm, so one without traffic stays cold.
	printf("states: %d warm, %d cold, %d draining, %d not heard of\n", states[target.Warm], states[target.Cold], states[target.Draining], unreported)
	for _, t := range d.Targets {
		if all || t.Blocked != "" || t.Status.State == target.Draining {
			printf("  %s\n", targetLine(t))
		}
	}
}

// targetLine describes one target on one line.
func targetLine(t admin.Target) string {
	text := fmt.Sprintf("%s in %s: ", t.ID, t.DataCentre)
	if t.Status.From == "" {
		text += "not heard of"
	} else {
		text += fmt.Sprintf("%s, level %d of %d slots", t.Status.State, t.Status.Level, t.Slots)
	}
	if t.Blocked != "" {
		text += "; " + t.Blocked
	}
	return text
}

// joinOrNone joins the list with commas, or returns "none" if the list is empty.
func joinOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
