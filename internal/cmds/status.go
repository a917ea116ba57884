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
	statusTimeout      = 5 * time.Second // for all requests of one attempt to read the description
	statusPollInterval = 100 * time.Millisecond
	maxAdminBody       = 16 << 20 // bytes; enough for the description of about 10,000 targets
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
	var description processDescription
	deadline := time.Now().Add(c.Wait)
	for {
		err := c.readDescription(&description)
		if err == nil && isReady(description.Status) || !time.Now().Before(deadline) {
			if err != nil {
				return err
			}
			break
		}
		time.Sleep(statusPollInterval)
	}
	var err error
	if c.JSON {
		err = printJSON(c.app.stdout, description)
	} else {
		printStatus(c.app.stdout, description, c.All)
	}
	if err == nil && (!description.Status.MaySend || c.Wait > 0 && !isReady(description.Status)) {
		err = &exitError{code: ExitFailure}
	}
	return err
}

// isReady reports whether the process takes new work and has a share of each target of which it is the primary dispatcher, apart
// from targets that accept no work from any process.
func isReady(s admin.Status) bool { return s.MaySend && s.WithoutShare == 0 }

// readDescription replaces the description by the current answers of the administration API.
func (c *statusCommand) readDescription(description *processDescription) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	*description = processDescription{}
	for _, endpoint := range []struct {
		path string
		dest any
	}{{admin.PathStatus, &description.Status}, {admin.PathMembers, &description.Members}, {admin.PathTargets, &description.Targets}} {
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

// printStatus prints the description as text. If all is false, it lists only targets that are blocked or draining.
func printStatus(w io.Writer, description processDescription, all bool) {
	status := description.Status
	state := "serving"
	switch {
	case status.Stopping:
		state = "stopping, takes the work of callers that still hold its address"
	case !status.MaySend:
		state = "takes no new work: " + status.Reason
	}
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	printf("%s in %s: %s\n", status.VM, status.DataCentre, state)
	evidence := "no evidence"
	if status.EvidenceAgeMS >= 0 {
		evidence = fmt.Sprintf("evidence is %d ms old", status.EvidenceAgeMS)
	}
	printf("revisions: rules %d, vms %d, services %d; %s\n", status.Revisions.Rules, status.Revisions.VMs, status.Revisions.Services, evidence)
	printf("in flight: %d; quarantined: %s\n", status.InFlight, joinOrNone(status.Quarantined))
	var unreachable []string
	for _, m := range description.Members {
		if !m.Reachable {
			unreachable = append(unreachable, m.VM+" ("+m.DataCentre+")")
		}
	}
	printf("entry VMs: %d published, not reached: %s\n", len(description.Members), joinOrNone(unreachable))
	printTargets(printf, description, all)
}

// printTargets prints the totals of the targets, then one line per listed target.
func printTargets(printf func(format string, args ...any), description processDescription, all bool) {
	blockedCount, dispatchedCount, unreportedCount := 0, 0, 0
	stateCounts := map[target.State]int{}
	for _, t := range description.Targets {
		if t.Blocked != "" {
			blockedCount++
		}
		if t.Lane != nil {
			dispatchedCount++
		}
		if t.Status.From == "" {
			unreportedCount++
		} else {
			stateCounts[t.Status.State]++
		}
	}
	printf("targets: %d published, %d blocked, %d dispatched here, %d of them as primary\n", len(description.Targets), blockedCount, dispatchedCount, description.Status.PrimaryOf)
	if n := description.Status.WithoutShare; n > 0 {
		printf("without a share yet: %d; shares grow for grow_delay after a start or a change\n", n)
	}
	// A target counts as cold until its replies have shown that it is warm, so a target without traffic stays cold.
	printf("states: %d warm, %d cold, %d draining, %d not heard of\n", stateCounts[target.Warm], stateCounts[target.Cold], stateCounts[target.Draining], unreportedCount)
	for _, t := range description.Targets {
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
