package discovery

import (
	"bytes"
	"errors"
	"fmt"

	"gatetack/internal/boundedjson"
	"gatetack/internal/node"
)

// lineSplitter splits a body into lines of limited length. An indented object spans several lines and counts as one.
// An incomplete object must not absorb what follows it, so an empty line, or a whole list on a line of its own, ends
// it with an error.
type lineSplitter struct {
	maxBytes int
	buf      []byte
	takeLine func([]byte) error

	lineStart int // start of the last line of an object that spans several lines
	depth     int // number of open brackets
	inString  bool
	escaped   bool // after a backslash in a string

	unbroken bool // the last line was handled before its line break arrived
}

func (s *lineSplitter) feed(b []byte) error {
	for {
		i := bytes.IndexByte(b, '\n')
		broken := i >= 0
		if !broken {
			i = len(b)
		}
		if len(s.buf)+i > s.maxBytes {
			return fmt.Errorf("a line of the endpoint list exceeds %d bytes", s.maxBytes)
		}
		s.add(b[:i])
		b = b[min(i+1, len(b)):]
		var err error
		switch {
		case broken && s.objectOpen() && !s.inString:
			if len(bytes.TrimSpace(s.buf[s.lineStart:])) == 0 || s.lineStart > 0 && isList(s.buf[s.lineStart:]) {
				return errors.New("incomplete object before the next line of the endpoint list")
			}
			s.buf = append(s.buf, '\n')
			s.lineStart = len(s.buf)
		case broken && s.unbroken && len(bytes.TrimSpace(s.buf)) == 0: // the line break of a line that was already handled
			s.buf, s.unbroken = s.buf[:0], false
		case broken || s.objectEnded():
			err = s.endLine()
			s.unbroken = !broken
		}
		if err != nil || len(b) == 0 {
			return err
		}
	}
}

// add appends a part of a line.
func (s *lineSplitter) add(b []byte) {
	s.buf = append(s.buf, b...)
	for _, c := range b {
		switch {
		case s.escaped:
			s.escaped = false
		case s.inString:
			s.escaped, s.inString = c == '\\', c != '"'
		case c == '"':
			s.inString = true
		case c == '{' || c == '[':
			s.depth++
		case c == '}' || c == ']':
			s.depth--
		}
	}
}

// objectOpen reports whether an object has begun and not ended.
func (s *lineSplitter) objectOpen() bool {
	t := bytes.TrimLeft(s.buf, " \t\r\n")
	return len(t) > 0 && t[0] == '{' && s.depth > 0
}

// started reports whether a part of a line has arrived.
func (s *lineSplitter) started() bool { return len(s.buf) > 0 }

// objectEnded reports whether the buffer contains an object up to its end, even if its line break has not arrived: its
// content counts as notified either way. Whether the object is valid is left to takeLine, so that it is validated once.
func (s *lineSplitter) objectEnded() bool {
	t := bytes.TrimSpace(s.buf)
	return s.depth == 0 && len(t) > 1 && t[0] == '{' && t[len(t)-1] == '}'
}

func isList(b []byte) bool {
	value, err := boundedjson.Parse(b, boundedjson.DocumentDepth)
	if err != nil {
		return false
	}
	_, err = node.ParseEndpointList(value)
	return err == nil
}

// endLine handles the content of the buffer as a line.
func (s *lineSplitter) endLine() error {
	err := s.takeLine(s.buf)
	s.buf, s.lineStart, s.depth, s.inString, s.escaped = s.buf[:0], 0, 0, false, false
	return err
}

// finish handles what follows the last line break.
func (s *lineSplitter) finish() error {
	if !s.started() {
		return nil
	}
	return s.endLine()
}
