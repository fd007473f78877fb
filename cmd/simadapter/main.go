// Command simadapter carries batches of the simulator's wire from standard input to one Dispatcher for each
// instance, and their actions to standard output. It decides nothing and shares nothing between instances.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"gatetack/internal/dispatch"
	"gatetack/internal/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// instance is one node: its Dispatcher and its events of the batch at hand.
type instance struct {
	id     uint16
	brain  *dispatch.Dispatcher
	events []dispatch.Event
	listed bool // already in the batch's order
}

func run(in io.Reader, out io.Writer) error {
	r := simprotocol.NewReader(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	all := make(map[uint16]*instance)
	var order []*instance
	var reply simprotocol.Reply
	var actions []dispatch.Action
	for {
		batch, err := r.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		order = order[:0]
		for i := range batch.Records {
			rec := &batch.Records[i]
			n := all[rec.Instance]
			if n == nil {
				n = &instance{id: rec.Instance}
				all[rec.Instance] = n
			}
			if !n.listed {
				n.listed = true
				order = append(order, n)
			}
			switch rec.Code {
			case simprotocol.CodeInit:
				s, err := simprotocol.ParseSettings(rec.Info)
				if err != nil {
					return fmt.Errorf("instance %d: %w", rec.Instance, err)
				}
				if n.brain, err = dispatch.New(s, rec.Seed); err != nil {
					return fmt.Errorf("instance %d: %w", rec.Instance, err)
				}
				n.events = n.events[:0]
			case simprotocol.CodeStop:
				n.brain, n.events = nil, n.events[:0]
			default:
				n.events = append(n.events, rec.Event)
			}
		}
		reply.Reset()
		for _, n := range order {
			n.listed = false
			if n.brain == nil {
				continue
			}
			actions = n.brain.Step(batch.Clock, n.events, actions[:0])
			n.events = n.events[:0]
			for i := range actions {
				if err := reply.Add(n.id, &actions[i]); err != nil {
					return fmt.Errorf("instance %d: %w", n.id, err)
				}
			}
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}
