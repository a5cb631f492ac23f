package work

// Keeper passes an answer on and keeps a copy of it, if it is not too large.
type Keeper struct {
	Sink
	// Detached makes a caller that goes away no reason to stop: the answer is kept
	// for its repeat.
	Detached bool
	// Receipted is the receipt that was last passed on.
	Receipted Receipt
	answer    Answer
	over      bool
}

// Receipt implements Sink.
func (k *Keeper) Receipt(r Receipt) {
	k.Receipted = r
	k.Sink.Receipt(r)
}

// Head implements Sink.
func (k *Keeper) Head(h Head) error {
	k.KeepHead(h)
	return k.tolerate(k.Sink.Head(h))
}

// Chunk implements Sink.
func (k *Keeper) Chunk(p []byte) error {
	k.Keep(p)
	return k.tolerate(k.Sink.Chunk(p))
}

func (k *Keeper) tolerate(err error) error {
	if k.Detached {
		return nil
	}
	return err
}

// KeepHead keeps a head without passing it on.
func (k *Keeper) KeepHead(h Head) { k.answer.Head = h }

// Keep keeps a part of the body without passing it on.
func (k *Keeper) Keep(p []byte) {
	if k.over || len(k.answer.Body)+len(p) > MaxKeptAnswer {
		k.over = true
		k.answer.Body = nil
		return
	}
	k.answer.Body = append(k.answer.Body, p...)
}

// Kept returns the whole answer; nil if it was too large to keep.
func (k *Keeper) Kept() *Answer {
	if k.over {
		return nil
	}
	return &k.answer
}
