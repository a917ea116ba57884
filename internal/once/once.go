// Package once makes sure that an order runs at most once. An order needs a token, and only the incarnation of the entry
// process that issued the token may run the order, a single time.
//
// # Usage
//
//	t := once.New[Outcome](once.Config{Key: key}, "vm-1", incarnation)
//	tok, ok := t.Issue(now)             // ok is false if the table is full; retry after t.RetryAfter(now)
//	decision, out := t.Begin(now, tok)  // Run: send the order; InProgress: wait for the first; Finished: out is the outcome
//	t.Finish(now, tok, outcome)
//
// The issuer runs no order without an entry in its table. The entry of an order that ran is kept for
// TokenTTL + MaxDeadline after the order was finished. After that the decision is OutcomeUnknown, which leaves open whether
// the order ran.
package once

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Config holds the lifetimes of tokens and outcomes, and the key. A lifetime or MaxEntries of zero takes its default.
type Config struct {
	TokenTTL    time.Duration // time after its issue during which a token can be used for the first time
	MaxDeadline time.Duration // longest deadline of an order
	MaxEntries  int           // largest number of entries in the table
	// Key signs the tokens. It must be random and different in each process. Otherwise callers could forge tokens.
	Key []byte
}

// Defaults of the fields of Config.
const (
	DefaultTokenTTL    = 10 * time.Second
	DefaultMaxDeadline = 30 * time.Second
	DefaultMaxEntries  = 100_000
)

// maxTokenLength is the maximum length of the text of a token, in bytes. VM ids are far shorter.
const maxTokenLength = 512

// Token is the permission to run one order once.
type Token struct {
	VM          string // VM id of the issuer
	Incarnation uint64 // incarnation of the issuer
	Seq         uint64 // sequence number; the first token of an incarnation has 1
	Expires     int64  // Unix time in milliseconds by the issuer's clock
	MAC         uint64 // proves that the issuer made the token
}

// String returns the text of the token for callers: VM id, incarnation, sequence number, expiry time and MAC, separated by
// dots.
func (t Token) String() string {
	return fmt.Sprintf("%s.%016x.%x.%x.%016x", t.VM, t.Incarnation, t.Seq, t.Expires, t.MAC)
}

// ParseToken returns the token of a text. It accepts only the text that String returns, and doesn't check the MAC.
func ParseToken(s string) (Token, error) {
	if len(s) > maxTokenLength {
		return Token{}, fmt.Errorf("token: longer than %d bytes", maxTokenLength)
	}
	// The VM id may itself contain dots, so the fields are split off from the end.
	var fields [4]uint64
	rest := s
	for i := len(fields) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(rest, '.')
		if dot < 0 {
			return Token{}, fmt.Errorf("token %q: expected vm.incarnation.seq.expires.mac", s)
		}
		n, err := strconv.ParseUint(rest[dot+1:], 16, 64)
		if err != nil {
			return Token{}, fmt.Errorf("token %q: %w", s, err)
		}
		fields[i] = n
		rest = rest[:dot]
	}
	tok := Token{VM: rest, Incarnation: fields[0], Seq: fields[1], Expires: int64(fields[2]), MAC: fields[3]}
	if tok.VM == "" || tok.String() != s {
		return Token{}, fmt.Errorf("token %q: not in canonical form", s)
	}
	return tok, nil
}

// computeMAC returns the MAC (message authentication code) of the token, computed with the key.
func (t Token) computeMAC(key []byte) uint64 {
	raw := binary.BigEndian.AppendUint64(nil, t.Incarnation)
	raw = binary.BigEndian.AppendUint64(raw, t.Seq)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.Expires))
	raw = append(raw, t.VM...)
	mac := hmac.New(sha256.New, key)
	mac.Write(raw)
	return binary.BigEndian.Uint64(mac.Sum(nil))
}

// hasValidMAC reports whether the MAC of the token was made with the key. The comparison takes constant time.
func (t Token) hasValidMAC(key []byte) bool {
	var got, want [8]byte
	binary.BigEndian.PutUint64(got[:], t.MAC)
	binary.BigEndian.PutUint64(want[:], t.computeMAC(key))
	return hmac.Equal(got[:], want[:])
}

// Decision tells the caller of Begin what to do with an order.
type Decision uint8

// Decisions of Begin.
const (
	Run            Decision = iota // first use of the token: run the order and call Finish
	InProgress                     // the order is running: wait for its outcome
	Finished                       // the order is finished: Begin returned its outcome
	OtherIssuer                    // the token was issued by another process or an earlier incarnation
	Expired                        // the token expired unused: the order has not run and never will
	Invalid                        // the token was never issued
	OutcomeUnknown                 // the token was issued, but its entry was removed: whether the order ran is unknown
)

// entryState is the state of an entry. The states before stateRunning are those of an unused token.
type entryState uint8

const (
	stateIssued entryState = iota
	stateExpired
	stateRunning
	stateFinished
)

// tokenEntry holds the state of one issued token.
type tokenEntry[O any] struct {
	state     entryState
	expires   time.Time // end of the token's validity
	keepUntil time.Time // when the entry is removed; ignored while the order is running
	outcome   O         // outcome of a finished order
}

// Table holds the tokens that one incarnation of a process has issued. O is the type of an outcome. A Table isn't safe for
// concurrent use.
type Table[O any] struct {
	cfg          Config
	vm           string
	incarnation  uint64
	lastSeq      uint64                    // last sequence number issued
	removedSeq   uint64                    // entries of unused tokens up to this sequence number are removed
	entries      map[uint64]*tokenEntry[O] // by sequence number
	finishedSeqs []uint64                  // sequence numbers of the finished orders, in the order in which they finished
}

// New returns an empty table.
func New[O any](cfg Config, vm string, incarnation uint64) *Table[O] {
	cfg.TokenTTL = cmp.Or(cfg.TokenTTL, DefaultTokenTTL)
	cfg.MaxDeadline = cmp.Or(cfg.MaxDeadline, DefaultMaxDeadline)
	cfg.MaxEntries = cmp.Or(cfg.MaxEntries, DefaultMaxEntries)
	return &Table[O]{cfg: cfg, vm: vm, incarnation: incarnation, entries: map[uint64]*tokenEntry[O]{}}
}

// Issue returns a new token, or false if the table is full. To make room, it removes entries of expired unused tokens,
// but never entries of running or finished orders.
func (t *Table[O]) Issue(now time.Time) (Token, bool) {
	t.removeExpired(now, len(t.entries) >= t.cfg.MaxEntries)
	if len(t.entries) >= t.cfg.MaxEntries {
		return Token{}, false
	}
	t.lastSeq++
	expires := now.Add(t.cfg.TokenTTL)
	t.entries[t.lastSeq] = &tokenEntry[O]{expires: expires, keepUntil: expires.Add(t.cfg.MaxDeadline)}
	tok := Token{VM: t.vm, Incarnation: t.incarnation, Seq: t.lastSeq, Expires: expires.UnixMilli()}
	tok.MAC = tok.computeMAC(t.cfg.Key)
	return tok, true
}

// RetryAfter returns the time after which a full table may have room for a new token. It is at least 1 ms.
func (t *Table[O]) RetryAfter(now time.Time) time.Duration {
	wait := t.cfg.MaxDeadline
	if len(t.finishedSeqs) > 0 {
		wait = min(wait, t.entries[t.finishedSeqs[0]].keepUntil.Sub(now))
	}
	for seq := t.removedSeq + 1; seq <= t.lastSeq; seq++ {
		if entry := t.entries[seq]; entry != nil && entry.state <= stateExpired {
			wait = min(wait, entry.expires.Sub(now))
			break
		}
	}
	return max(wait, time.Millisecond)
}

// Begin decides whether the order with the token may run, and marks the order as running if the decision is Run. If the
// decision is Finished, Begin also returns the outcome.
func (t *Table[O]) Begin(now time.Time, tok Token) (Decision, O) {
	var noOutcome O
	if tok.VM != t.vm || tok.Incarnation != t.incarnation {
		return OtherIssuer, noOutcome
	}
	if tok.Seq == 0 || tok.Seq > t.lastSeq || !tok.hasValidMAC(t.cfg.Key) {
		return Invalid, noOutcome
	}
	entry := t.entries[tok.Seq]
	switch {
	case entry == nil:
		return OutcomeUnknown, noOutcome
	case entry.state == stateRunning:
		return InProgress, noOutcome
	case entry.state == stateFinished:
		return Finished, entry.outcome
	case entry.state == stateExpired || !now.Before(entry.expires):
		// The state is stored, because a later call of Begin may have an earlier now: its caller may have read the clock
		// before this call.
		entry.state = stateExpired
		return Expired, noOutcome
	}
	entry.state = stateRunning
	return Run, noOutcome
}

// Finish stores the outcome of a running order. It does nothing if the token isn't valid or its order isn't running.
func (t *Table[O]) Finish(now time.Time, tok Token, outcome O) {
	if tok.VM != t.vm || tok.Incarnation != t.incarnation || !tok.hasValidMAC(t.cfg.Key) {
		return
	}
	entry := t.entries[tok.Seq]
	if entry == nil || entry.state != stateRunning {
		return
	}
	entry.state = stateFinished
	entry.outcome = outcome
	entry.keepUntil = now.Add(t.cfg.TokenTTL + t.cfg.MaxDeadline)
	t.finishedSeqs = append(t.finishedSeqs, tok.Seq)
}

// OpenCount returns the number of tokens whose order is running or that haven't expired. An unexpired token can still
// be used to run an order or to request its outcome. A planned stop waits until the number is 0.
func (t *Table[O]) OpenCount(now time.Time) int {
	t.removeExpired(now, false)
	count := 0
	for _, entry := range t.entries {
		if entry.state == stateRunning || now.Before(entry.expires) {
			count++
		}
	}
	return count
}

// Len returns the number of entries in the table, at most MaxEntries.
func (t *Table[O]) Len() int { return len(t.entries) }

// removeExpired removes the entries whose keepUntil has passed, in constant time per entry. If room is needed, it also
// removes the entries of unused tokens that have expired.
func (t *Table[O]) removeExpired(now time.Time, needRoom bool) {
	for len(t.finishedSeqs) > 0 && !now.Before(t.entries[t.finishedSeqs[0]].keepUntil) {
		delete(t.entries, t.finishedSeqs[0])
		t.finishedSeqs = t.finishedSeqs[1:]
	}
	for t.removedSeq < t.lastSeq {
		entry := t.entries[t.removedSeq+1]
		if entry != nil && entry.state <= stateExpired {
			if now.Before(entry.expires) || !needRoom && now.Before(entry.keepUntil) {
				return
			}
			delete(t.entries, t.removedSeq+1)
		}
		t.removedSeq++
	}
}
