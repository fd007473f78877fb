package http1

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"gatetack/internal/limits"
)

// Error is a malformed message and the status that a server answers it with.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return "http1: " + e.Text }

func bad(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

type state uint8

const (
	startLine state = iota
	headerLine
	fixedBody
	chunkSize
	chunkData
	chunkEnd
	trailer
	untilClose
	complete
)

// Parser reads one message at a time from a ring, however its bytes are cut. An error sticks: the connection
// is of no further use.
type Parser struct {
	lim      limits.Limits
	response bool
	// Sink, if set, gets the body's bytes as they come; they are neither kept nor bounded then.
	Sink func([]byte) error
	// Room, if set, is asked for the bytes of each body before they come, and the message is refused if it has none.
	// Release gives them back as a negative number.
	Room func(n int) bool

	held   int // bytes that Room gave
	st     state
	line   []byte
	header int // bytes of header lines so far
	left   int // bytes of the body or chunk still to come
	m      Message
	err    error
}

// NewParser makes a parser of requests, or of responses.
func NewParser(lim limits.Limits, response bool) *Parser {
	return &Parser{lim: lim, response: response}
}

// Release gives back what Room gave for the message that is being read or was read last.
func (p *Parser) Release() {
	if p.held > 0 {
		p.Room(-p.held)
		p.held = 0
	}
}

func (p *Parser) reserve(n int) bool {
	if p.Room == nil {
		return true
	}
	if !p.Room(n) {
		p.fail(503, "no room for a body of %d bytes now", n)
		return false
	}
	p.held += n
	return true
}

// Begun says whether a part of a message has come.
func (p *Parser) Begun() bool { return p.st != startLine || len(p.line) > 0 }

// Expects says whether the sender holds the body back until it is asked for (Expect: 100-continue).
func (p *Parser) Expects() bool {
	return (p.st == fixedBody || p.st == chunkSize) && len(p.m.Body) == 0 && p.m.has("Expect", "100-continue")
}

// Status is that of a response whose first line has come, else 0.
func (p *Parser) Status() int {
	if !p.response || p.st == startLine {
		return 0
	}
	return p.m.Status
}

// Head gives the message whose headers have come, or nil.
func (p *Parser) Head() *Message {
	if p.st <= headerLine {
		return nil
	}
	return &p.m
}

// Feed takes bytes from the ring until a message is whole, which it returns, or the ring is empty: nil.
func (p *Parser) Feed(r *Ring) (*Message, error) {
	for p.err == nil && r.Len() > 0 {
		n := p.take(r.Next())
		r.Drop(n)
		if p.st == complete {
			return p.finish(), nil
		}
	}
	return nil, p.err
}

// End says that the connection has ended: a body that lasts until then is whole, anything else is cut off.
func (p *Parser) End() (*Message, error) {
	switch {
	case p.err != nil:
		return nil, p.err
	case p.st == untilClose:
		return p.finish(), nil
	case p.Begun():
		return nil, bad(400, "the connection ended within a message")
	}
	return nil, nil
}

// Read feeds from src through the ring until a message is whole. One that lasts until the connection ends is whole
// then.
func (p *Parser) Read(r *Ring, src io.Reader) (*Message, error) {
	for {
		m, err := p.Feed(r)
		if m != nil || err != nil {
			return m, err
		}
		if _, err := r.Fill(src); err != nil {
			if m, end := p.End(); m != nil && end == nil {
				return m, nil
			}
			return nil, fmt.Errorf("reading: %w", err)
		}
	}
}

func (p *Parser) finish() *Message {
	m := p.m
	p.st, p.m, p.header, p.left = startLine, Message{}, 0, 0
	return &m
}

// take uses some of b, at least one byte, and tells how many.
func (p *Parser) take(b []byte) int {
	switch p.st {
	case fixedBody, chunkData, untilClose:
		n := len(b)
		if p.st != untilClose {
			n = min(n, p.left)
		}
		p.left -= n
		p.body(b[:n])
		if p.left == 0 && p.st == fixedBody {
			p.st = complete
		} else if p.left == 0 && p.st == chunkData {
			p.st = chunkEnd
		}
		return n
	}
	for i, c := range b {
		if c == '\n' {
			p.endLine()
			return i + 1
		}
		if len(p.line) >= p.lim.Line {
			p.fail(431, "a line is longer than %d bytes", p.lim.Line)
			return i + 1
		}
		p.line = append(p.line, c)
	}
	return len(b)
}

func (p *Parser) fail(status int, format string, args ...any) {
	if p.err == nil {
		p.err = bad(status, format, args...)
	}
}

func (p *Parser) body(b []byte) {
	if p.Sink != nil {
		if err := p.Sink(b); err != nil && p.err == nil {
			p.err = err
		}
		return
	}
	if len(p.m.Body)+len(b) > p.lim.Body {
		p.fail(413, "a body is longer than %d bytes", p.lim.Body)
		return
	}
	p.m.Body = append(p.m.Body, b...)
}

func (p *Parser) endLine() {
	line := p.line
	p.line = p.line[:0]
	// A lone LF ends no line: two readers that differ on it can be made to see two different messages.
	if len(line) == 0 || line[len(line)-1] != '\r' {
		p.fail(400, "a line that does not end in CRLF")
		return
	}
	line = line[:len(line)-1]
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f { // what is passed on must be readable to the next, too
			p.fail(400, "a control character in a line")
			return
		}
	}
	switch p.st {
	case startLine:
		if len(line) == 0 && !p.response {
			return // RFC 9112 2.2: an empty line before a request is passed over
		}
		p.start(string(line))
	case headerLine:
		if len(line) == 0 {
			p.headersDone()
			return
		}
		p.headerBytes(line)
		p.field(string(line))
	case chunkSize:
		p.chunk(string(line))
	case chunkEnd:
		if len(line) != 0 {
			p.fail(400, "a chunk is longer than its size says")
			return
		}
		p.st = chunkSize
	case trailer:
		p.headerBytes(line)
		if len(line) == 0 {
			p.st = complete
		}
	}
}

func (p *Parser) headerBytes(line []byte) {
	if p.header += len(line) + 2; p.header > p.lim.HeaderBytes {
		p.fail(431, "headers are longer than %d bytes", p.lim.HeaderBytes)
	}
}

func (p *Parser) start(line string) {
	first, rest, ok := strings.Cut(line, " ")
	second, third, ok2 := strings.Cut(rest, " ")
	version := third
	if p.response {
		version, ok2 = first, ok
	}
	switch {
	case !ok || !ok2:
		p.fail(400, "a malformed start line")
		return
	case version == "HTTP/1.1":
		p.m.Minor = 1
	case version == "HTTP/1.0":
	case strings.HasPrefix(version, "HTTP/"):
		p.fail(505, "version %q", version)
		return
	default:
		p.fail(400, "a malformed start line")
		return
	}
	p.m.Close = p.m.Minor == 0
	if p.response {
		status, err := strconv.Atoi(second)
		if err != nil || len(second) != 3 || status < 100 {
			p.fail(400, "a malformed status")
			return
		}
		p.m.Status = status
	} else {
		if !token(first) || !Visible(second) {
			p.fail(400, "a malformed start line")
			return
		}
		p.m.Method, p.m.Target = first, second
	}
	p.st = headerLine
}

func (p *Parser) field(line string) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !token(name) {
		p.fail(400, "a malformed header line")
		return
	}
	if len(p.m.Fields) >= p.lim.Headers {
		p.fail(431, "more than %d headers", p.lim.Headers)
		return
	}
	p.m.Fields = append(p.m.Fields, Field{name, strings.Trim(value, " \t")})
}

func (p *Parser) headersDone() {
	m := &p.m
	if m.has("Connection", "close") {
		m.Close = true
	} else if m.Minor == 0 && m.has("Connection", "keep-alive") {
		m.Close = false
	}
	if p.response && (m.Status < 200 || m.Status == 204 || m.Status == 304) {
		if m.Status < 200 && m.Status != 101 {
			*m, p.st = Message{}, startLine // an interim response: the real one follows
			return
		}
		p.st = complete
		return
	}
	length, chunked, ok := p.framing()
	switch {
	case !ok:
	case chunked:
		p.st = chunkSize
	case length > 0:
		if p.Sink == nil && length > p.lim.Body {
			p.fail(413, "a body of %d bytes is longer than %d", length, p.lim.Body)
			return
		}
		if !p.reserve(length) {
			return
		}
		p.left, p.st = length, fixedBody
	case length == 0 || !p.response:
		p.st = complete
	default:
		m.Close, p.st = true, untilClose
	}
}

// framing tells how the body is framed: a length, -1 where none is told, or chunks. Lengths that conflict, with
// one another or with chunks, are refused: they let a request hide inside another.
func (p *Parser) framing() (length int, chunked, ok bool) {
	length = -1
	for _, f := range p.m.Fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			n, valid := decimal(f.Value)
			if !valid || length >= 0 && n != length {
				p.fail(400, "Content-Length: %q", f.Value)
				return 0, false, false
			}
			length = n
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if !strings.EqualFold(f.Value, "chunked") || chunked || p.m.Minor == 0 {
				p.fail(501, "Transfer-Encoding: %q", f.Value)
				return 0, false, false
			}
			chunked = true
		}
	}
	if chunked && length >= 0 {
		p.fail(400, "both Content-Length and Transfer-Encoding")
		return 0, false, false
	}
	return length, chunked, true
}

func (p *Parser) chunk(line string) {
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 31)
	if err != nil || size[0] == '+' || size[0] == '_' {
		p.fail(400, "a malformed chunk size")
		return
	}
	if n == 0 {
		p.st = trailer
		return
	}
	if p.Sink == nil && len(p.m.Body)+int(n) > p.lim.Body {
		p.fail(413, "a body is longer than %d bytes", p.lim.Body)
		return
	}
	if !p.reserve(int(n)) {
		return
	}
	p.left, p.st = int(n), chunkData
}

func decimal(s string) (int, bool) {
	if s == "" || len(s) > 9 {
		return 0, false
	}
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.Atoi(s)
	return n, err == nil
}

// Visible says whether s is not empty and holds visible ASCII alone.
func Visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

// token says whether s is a method or header name as RFC 9110 5.6.2 has it.
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0 {
			continue
		}
		return false
	}
	return s != ""
}
