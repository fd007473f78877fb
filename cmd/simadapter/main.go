// Command simadapter reads batches of the simulator's protocol from standard input, passes their events to one
// Dispatcher for each instance, and writes the resulting actions to standard output. It makes no dispatch decisions,
// and instances share no state.
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

// instance is one simulated node: its Dispatcher and its events of the current batch.
type instance struct {
	id         uint16
	dispatcher *dispatch.Dispatcher // nil before CodeInit and after CodeStop
	events     []dispatch.Event
	inOrder    bool // already in host.order for the current batch
}

// host holds the instances of one simulation.
type host struct {
	instances map[uint16]*instance
	order     []*instance // instances of the current batch, in the order of their first records
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
		if err := h.distribute(batch); err != nil {
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

// distribute applies the records of a batch to their instances.
func (h *host) distribute(batch *simprotocol.Batch) error {
	h.order = h.order[:0]
	for i := range batch.Records {
		record := &batch.Records[i]
		if err := h.instance(record.Instance).apply(record); err != nil {
			return fmt.Errorf("instance %d: %w", record.Instance, err)
		}
	}
	return nil
}

// instance returns the instance with an id, creates it if needed, and adds it to the order of the batch.
func (h *host) instance(id uint16) *instance {
	n := h.instances[id]
	if n == nil {
		n = &instance{id: id}
		h.instances[id] = n
	}
	if !n.inOrder {
		n.inOrder = true
		h.order = append(h.order, n)
	}
	return n
}

func (n *instance) apply(record *simprotocol.Record) error {
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

// step runs one step of each instance in the batch and encodes their actions into the reply.
func (h *host) step(clock float64) error {
	h.reply.Reset()
	for _, n := range h.order {
		n.inOrder = false
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
