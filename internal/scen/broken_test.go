package scen_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/relay"
	"github.com/fuchsiarelay/fuchsiarelay/internal/scen"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// brokenClient replaces methods of a target client by functions that violate an invariant. The method of a nil function is
// not replaced.
type brokenClient struct {
	target.Client
	sub   func(c target.Client, ctx context.Context, s target.Sub) (target.SubReply, error)
	order func(c target.Client, ctx context.Context, o target.Order) (target.OrderReply, error)
}

func (b brokenClient) Sub(ctx context.Context, s target.Sub) (target.SubReply, error) {
	if b.sub == nil {
		return b.Client.Sub(ctx, s)
	}
	return b.sub(b.Client, ctx, s)
}

func (b brokenClient) Order(ctx context.Context, o target.Order) (target.OrderReply, error) {
	if b.order == nil {
		return b.Client.Order(ctx, o)
	}
	return b.order(b.Client, ctx, o)
}

// editReplies returns a function for brokenClient.sub that sends the sub-request and passes its reply to change.
func editReplies(change func(r *target.SubReply)) func(target.Client, context.Context, target.Sub) (target.SubReply, error) {
	return func(c target.Client, ctx context.Context, s target.Sub) (target.SubReply, error) {
		r, err := c.Sub(ctx, s)
		change(&r)
		return r, err
	}
}

// unchangingReader is a platform reader whose Watch never reports a new revision.
type unchangingReader struct {
	plat.Reader
}

func (r unchangingReader) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (plat.Document, bool, error) {
	_, _, err := r.Reader.Watch(ctx, key, after, wait)
	return plat.Document{}, false, err
}

// Guards against checks that miss violations: each case violates one invariant, and MatrixCell.Run must report a violation of
// it.
func TestViolationsCatchesBrokenPolicies(t *testing.T) {
	wrapWith := func(b brokenClient) func(target.Client) target.Client {
		return func(c target.Client) target.Client {
			return brokenClient{Client: c, sub: b.sub, order: b.order}
		}
	}
	ignoreNewDocuments := func(r *relay.Relay) { r.Platform = unchangingReader{Reader: r.Platform} }
	noFault := scen.Fault{Name: "none", Inject: func(*scen.Simulation, scen.FaultSite) {}}
	cases := []struct {
		property, name string
		fault          scen.Fault
		cfg            scen.Config
	}{
		{"P1", "merge any version", noFault, scen.Config{WrapClient: wrapWith(brokenClient{sub: editReplies(func(r *target.SubReply) {
			for i := range r.Parts {
				r.Parts[i].Hits[0].ID = strings.Replace(r.Parts[i].Hits[0].ID, "v1", "v2", 1)
			}
		})})}},
		{"P2", "count what was asked for, not what was searched", faultByName("partial parts"), scen.Config{WrapClient: wrapWith(brokenClient{sub: editReplies(func(r *target.SubReply) {
			for i := range r.Parts {
				r.Parts[i].Documents = 1000
			}
		})})}},
		{"P3", "send without a limit", noFault, scen.Config{WrapClient: wrapWith(brokenClient{sub: func(c target.Client, ctx context.Context, s target.Sub) (target.SubReply, error) {
			for range 3 {
				go func() { _, _ = c.Sub(ctx, s) }()
			}
			return c.Sub(ctx, s)
		}})}},
		{"P4", "keep old rules", faultByName("data centre out"), scen.Config{SetupRelay: ignoreNewDocuments}},
		{"P5", "answer another request", noFault, scen.Config{WrapClient: wrapWith(brokenClient{sub: editReplies(func(r *target.SubReply) {
			for i := range r.Parts {
				r.Parts[i].Hits[0].Body = "other"
			}
		})})}},
		{"P6", "say not run after a lost reply", noFault, scen.Config{WrapClient: wrapWith(brokenClient{sub: func(c target.Client, ctx context.Context, s target.Sub) (target.SubReply, error) {
			_, _ = c.Sub(ctx, s)
			return target.SubReply{}, &target.Error{Kind: target.NotSent, Err: context.Canceled}
		}})}},
		{"P7", "send an order again", noFault, scen.Config{WrapClient: wrapWith(brokenClient{order: func(c target.Client, ctx context.Context, o target.Order) (target.OrderReply, error) {
			_, _ = c.Order(ctx, o)
			return c.Order(ctx, o)
		}})}},
		{"P8", "keep the old target list", faultByName("target listed as leaving"), scen.Config{SetupRelay: ignoreNewDocuments}},
		{"P9", "stop at once", scen.Fault{
			Name:   "stop without drain",
			Inject: func(sim *scen.Simulation, site scen.FaultSite) { sim.Kill(site.Entry) },
			Heal:   func(sim *scen.Simulation, site scen.FaultSite) { _ = sim.Start(site.Entry) },
		}, scen.Config{}},
	}
	for _, c := range cases {
		t.Run(c.property+" "+c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c.cfg.Spec, c.cfg.Rules = emul.Small(), rulesText
				cell := scen.MatrixCell{Faults: []scen.Fault{c.fault}, Step: trace.Sent, Seed: 1, Config: c.cfg}
				verdict, err := cell.Run()
				assert.NilError(t, err)
				for _, violation := range verdict.Violations {
					if violation.Property == c.property {
						return
					}
				}
				t.Errorf("no violation of the expected invariant was reported; other violations: %v", verdict.Violations)
			})
		})
	}
}

// faultByName returns the fault with the name.
func faultByName(name string) scen.Fault {
	for _, f := range scen.Faults {
		if f.Name == name {
			return f
		}
	}
	panic("unknown fault " + name)
}
