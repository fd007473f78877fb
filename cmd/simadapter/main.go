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

// bufferSize is the size of the buffers of standard input and output, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// instance is one node: its Dispatcher and its events of the batch at hand.
type instance struct {
	id         uint16
	dispatcher *dispatch.Dispatcher // nil before its start and after its stop
	events     []dispatch.Event
	listed     bool // already in the batch's order
}

// host runs the instances of one simulation.
type host struct {
	instances map[uint16]*instance
	order     []*instance // of the batch at hand, as they first appear in it
	actions   []dispatch.Action
	reply     simprotocol.Reply
}

func run(in io.Reader, out io.Writer) error {
	reader := simprotocol.NewReader(bufio.NewReaderSize(in, bufferSize))
	writer := bufio.NewWriterSize(out, bufferSize)
	h := &host{instances: map[uint16]*instance{}}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.takeIn(batch); err != nil {
			return err
		}
		if err := h.step(batch.Clock); err != nil {
			return err
		}
		if err := send(writer, h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// takeIn gives the records of a batch to their instances.
func (h *host) takeIn(batch *simprotocol.Batch) error {
	h.order = h.order[:0]
	for i := range batch.Records {
		record := &batch.Records[i]
		if err := h.instance(record.Instance).takeIn(record); err != nil {
			return fmt.Errorf("instance %d: %w", record.Instance, err)
		}
	}
	return nil
}

// instance gives the one with a number, and puts it into the batch's order.
func (h *host) instance(id uint16) *instance {
	n := h.instances[id]
	if n == nil {
		n = &instance{id: id}
		h.instances[id] = n
	}
	if !n.listed {
		n.listed = true
		h.order = append(h.order, n)
	}
	return n
}

func (n *instance) takeIn(record *simprotocol.Record) error {
	switch record.Code {
	case simprotocol.CodeInit:
		settings, err := simprotocol.ParseSettings(record.Info)
		if err != nil {
			return err
		}
		n.events = n.events[:0]
		n.dispatcher, err = dispatch.New(settings, record.Seed)
		return err
	case simprotocol.CodeStop:
		n.dispatcher, n.events = nil, n.events[:0]
	default:
		n.events = append(n.events, record.Event)
	}
	return nil
}

// step has each instance of the batch take a step, and gathers their actions in the reply.
func (h *host) step(clock float64) error {
	h.reply.Reset()
	for _, n := range h.order {
		n.listed = false
		if n.dispatcher == nil {
			continue
		}
		h.actions = n.dispatcher.Step(clock, n.events, h.actions[:0])
		n.events = n.events[:0]
		for i := range h.actions {
			if err := h.reply.Add(n.id, &h.actions[i]); err != nil {
				return fmt.Errorf("instance %d: %w", n.id, err)
			}
		}
	}
	return nil
}

func send(w *bufio.Writer, reply []byte) error {
	if _, err := w.Write(reply); err != nil {
		return err
	}
	return w.Flush()
}
