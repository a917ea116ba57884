package codes

// Block is the reason why new work for a service or a target is refused until the rules or the published documents
// change.
type Block struct {
	Code     Code
	RuleLine int // line of the rule in the rules document; 0 if no rule is the reason
	Text     string
}

// Err returns an error that carries the code, the rule line and the text of the block.
func (b *Block) Err() error { return NewByRule(b.Code, b.RuleLine, "%s", b.Text) }
