package cmds

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
)

type explainCommand struct {
	app         *app
	Rules       string `long:"rules" value-name:"FILE" required:"true" description:"rules file"`
	Tenant      string `long:"tenant" value-name:"NAME" description:"tenant of the request"`
	Service     string `long:"service" value-name:"NAME" description:"service of the request"`
	Target      string `long:"target" value-name:"ID" description:"target that may serve the request"`
	VM          string `long:"vm" value-name:"ID" description:"VM of a target or entry process"`
	DataCentre  string `long:"data-centre" value-name:"NAME" description:"data centre of a target or entry process"`
	Class       string `long:"class" value-name:"NAME" description:"class of the request"`
	Fingerprint string `long:"fingerprint" value-name:"HEX" description:"fingerprint of a query, 16 hex digits"`
	Query       string `long:"query" value-name:"TEXT" description:"query text; its fingerprint is looked up"`
	JSON        bool   `long:"json" description:"print JSON"`
}

// explanation is the JSON output of explain.
type explanation struct {
	Fingerprint string                `json:"fingerprint,omitempty"`
	Rules       []rules.ExplainedRule `json:"rules"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	filter := rules.ExplainFilter{
		Tenant: c.Tenant, Service: c.Service, Target: c.Target, VM: c.VM, DataCentre: c.DataCentre, Class: c.Class,
		Fingerprint: c.Fingerprint,
	}
	if c.Query != "" {
		if c.Service == "" || c.Tenant == "" || c.Fingerprint != "" {
			return usageError("--query needs --service and --tenant, and excludes --fingerprint")
		}
		filter.Fingerprint = fmt.Sprintf("%016x", poison.Fingerprint(c.Service, c.Tenant, c.Query))
	}
	if filter == (rules.ExplainFilter{}) {
		return usageError("explain needs at least one of --tenant, --service, --target, --vm, --data-centre, --class, --fingerprint, --query")
	}
	set, faults := loadRules(c.Rules)
	if set == nil {
		return c.app.printFaults(faults)
	}
	result := explanation{Fingerprint: filter.Fingerprint, Rules: set.Explain(filter)}
	if c.JSON {
		if result.Rules == nil {
			result.Rules = []rules.ExplainedRule{}
		}
		return printJSON(c.app.stdout, result)
	}
	printExplanation(c.app.stdout, c.Rules, result)
	return nil
}

// printExplanation prints the rules as text, each with its line in the rules file at path.
func printExplanation(w io.Writer, path string, result explanation) {
	if result.Fingerprint != "" {
		_, _ = fmt.Fprintf(w, "fingerprint %s\n", result.Fingerprint)
	}
	if len(result.Rules) == 0 {
		_, _ = fmt.Fprintln(w, "no rule touches it")
	}
	for _, rule := range result.Rules {
		_, _ = fmt.Fprintf(w, "%s:%d: %s\n  effect: %s\n  who:    %s\n  why:    %s\n", path, rule.Line, rule.Rule, rule.Effect, rule.Who, rule.Why)
	}
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}
