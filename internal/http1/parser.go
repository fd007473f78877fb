package http1

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"gatetack/internal/limits"
)

// Error describes a malformed message. Status is the status with which a server responds to it.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return "http1: " + e.Text }

func newError(status int, format string, args ...any) error {
	return &Error{status, fmt.Sprintf(format, args...)}
}

type parseState uint8

// The states, each named for the element that the parser reads next.
const (
	startLine  parseState = iota
	headerLine            // a header line or the empty line after the headers
	fixedBody             // a body of known length
	chunkSize             // the size line of a chunk
	chunkData
	chunkEnd   // the line break after a chunk
	trailer    // header lines after the last chunk
	untilClose // a response body that is delimited by the end of the connection
	complete   // the message is complete
)

// Parser reads one message at a time from a ring, independently of how its bytes are split into reads. Errors are
// sticky: the connection cannot be used afterwards.
type Parser struct {
	limits   limits.Limits
	response bool
	// BodySink, if set, receives the bytes of the body as they arrive. The body is then neither stored nor limited.
	BodySink func([]byte) error
	// ReserveBody, if set, is called with the size of a body or chunk before its bytes are read. If it returns false the
	// message is rejected. Release calls it with the negated number of reserved bytes.
	ReserveBody func(n int) bool

	reservedBody  int // bytes reserved for the message
	state         parseState
	line          []byte
	headerSize    int // bytes of the header lines read
	bodyRemaining int // bytes of the body or chunk not yet read
	message       Message
	err           error
}

// NewParser returns a parser of responses if response is set, else of requests.
func NewParser(lim limits.Limits, response bool) *Parser {
	return &Parser{limits: lim, response: response}
}

// Release returns the body bytes reserved for the current or last message.
func (p *Parser) Release() {
	if p.reservedBody > 0 {
		p.ReserveBody(-p.reservedBody)
		p.reservedBody = 0
	}
}

func (p *Parser) reserve(n int) bool {
	if p.ReserveBody == nil {
		return true
	}
	if !p.ReserveBody(n) {
		p.fail(503, "no room for a body of %d bytes now", n)
		return false
	}
	p.reservedBody += n
	return true
}

// Started reports whether a part of a message has been read.
func (p *Parser) Started() bool { return p.state != startLine || len(p.line) > 0 }

// ExpectsContinue reports whether the sender waits for a 100 response before it sends the body (Expect: 100-continue).
func (p *Parser) ExpectsContinue() bool {
	beforeBody := (p.state == fixedBody || p.state == chunkSize) && len(p.message.Body) == 0
	return beforeBody && p.message.headerContains("Expect", "100-continue")
}

// Status returns the status of a response whose status line has been read, else 0.
func (p *Parser) Status() int {
	if !p.response || p.state == startLine {
		return 0
	}
	return p.message.Status
}

// Head returns the current message if its headers are complete, else nil. Its body may be incomplete.
func (p *Parser) Head() *Message {
	if p.state <= headerLine {
		return nil
	}
	return &p.message
}

// Feed consumes bytes from the ring until a message is complete, which it returns. It returns nil if the ring is empty
// before that.
func (p *Parser) Feed(r *Ring) (*Message, error) {
	for p.err == nil && r.Len() > 0 {
		n := p.consume(r.Next())
		r.Drop(n)
		if p.state == complete {
			return p.finish(), nil
		}
	}
	return nil, p.err
}

// End reports the end of the connection to the parser. It completes a message whose body is delimited by the end of the
// connection; any other unfinished message is truncated, which is an error.
func (p *Parser) End() (*Message, error) {
	switch {
	case p.err != nil:
		return nil, p.err
	case p.state == untilClose:
		return p.finish(), nil
	case p.Started():
		return nil, newError(400, "the connection ended within a message")
	}
	return nil, nil
}

// Read reads from src through the ring until a message is complete. The end of src completes a message that is
// delimited by the end of the connection.
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
	m := p.message
	p.state, p.message, p.headerSize, p.bodyRemaining = startLine, Message{}, 0, 0
	return &m
}

// consume parses at least one byte of b and returns the number of parsed bytes.
func (p *Parser) consume(b []byte) int {
	switch p.state {
	case fixedBody, chunkData, untilClose:
		n := len(b)
		if p.state != untilClose {
			n = min(n, p.bodyRemaining)
		}
		p.bodyRemaining -= n
		p.appendBody(b[:n])
		if p.bodyRemaining == 0 && p.state == fixedBody {
			p.state = complete
		} else if p.bodyRemaining == 0 && p.state == chunkData {
			p.state = chunkEnd
		}
		return n
	}
	for i, c := range b {
		if c == '\n' {
			p.endLine()
			return i + 1
		}
		if len(p.line) >= p.limits.LineBytes {
			p.fail(431, "a line is longer than %d bytes", p.limits.LineBytes)
			return i + 1
		}
		p.line = append(p.line, c)
	}
	return len(b)
}

func (p *Parser) fail(status int, format string, args ...any) {
	if p.err == nil {
		p.err = newError(status, format, args...)
	}
}

func (p *Parser) appendBody(b []byte) {
	if p.BodySink != nil {
		if err := p.BodySink(b); err != nil && p.err == nil {
			p.err = err
		}
		return
	}
	if len(p.message.Body)+len(b) > p.limits.BodyBytes {
		p.fail(413, "a body is longer than %d bytes", p.limits.BodyBytes)
		return
	}
	p.message.Body = append(p.message.Body, b...)
}

func (p *Parser) endLine() {
	line := p.line
	p.line = p.line[:0]
	// A bare LF is rejected: two parsers that treat it differently can be made to see different messages.
	if len(line) == 0 || line[len(line)-1] != '\r' {
		p.fail(400, "a line that does not end in CRLF")
		return
	}
	line = line[:len(line)-1]
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f { // a forwarded line must be valid for the next recipient, too
			p.fail(400, "a control character in a line")
			return
		}
	}
	switch p.state {
	case startLine:
		if len(line) == 0 && !p.response {
			return // RFC 9112, section 2.2: empty lines before a request are ignored
		}
		p.parseStartLine(string(line))
	case headerLine:
		if len(line) == 0 {
			p.headersDone()
			return
		}
		p.countHeaderBytes(line)
		p.parseField(string(line))
	case chunkSize:
		p.parseChunkSize(string(line))
	case chunkEnd:
		if len(line) != 0 {
			p.fail(400, "a chunk is longer than its size says")
			return
		}
		p.state = chunkSize
	case trailer:
		p.countHeaderBytes(line)
		if len(line) == 0 {
			p.state = complete
		}
	}
}

func (p *Parser) countHeaderBytes(line []byte) {
	if p.headerSize += len(line) + 2; p.headerSize > p.limits.HeaderBytes {
		p.fail(431, "headers are longer than %d bytes", p.limits.HeaderBytes)
	}
}

func (p *Parser) parseStartLine(line string) {
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
		p.message.Minor = 1
	case version == "HTTP/1.0":
	case strings.HasPrefix(version, "HTTP/"):
		p.fail(505, "version %q", version)
		return
	default:
		p.fail(400, "a malformed start line")
		return
	}
	p.message.Close = p.message.Minor == 0
	if p.response {
		status, err := strconv.Atoi(second)
		if err != nil || len(second) != 3 || status < 100 {
			p.fail(400, "a malformed status")
			return
		}
		p.message.Status = status
	} else {
		if !isToken(first) || !IsVisibleASCII(second) {
			p.fail(400, "a malformed start line")
			return
		}
		p.message.Method, p.message.Target = first, second
	}
	p.state = headerLine
}

func (p *Parser) parseField(line string) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		p.fail(400, "a malformed header line")
		return
	}
	if len(p.message.Fields) >= p.limits.HeaderLines {
		p.fail(431, "more than %d headers", p.limits.HeaderLines)
		return
	}
	p.message.Fields = append(p.message.Fields, Field{name, strings.Trim(value, " \t")})
}

func (p *Parser) headersDone() {
	m := &p.message
	if m.headerContains("Connection", "close") {
		m.Close = true
	} else if m.Minor == 0 && m.headerContains("Connection", "keep-alive") {
		m.Close = false
	}
	if p.response && (m.Status < 200 || m.Status == 204 || m.Status == 304) {
		if m.Status < 200 && m.Status != 101 {
			*m, p.state = Message{}, startLine // interim response: the final response follows
			return
		}
		p.state = complete
		return
	}
	length, chunked, ok := p.framing()
	switch {
	case !ok:
	case chunked:
		p.state = chunkSize
	case length > 0:
		if p.BodySink == nil && length > p.limits.BodyBytes {
			p.fail(413, "a body of %d bytes is longer than %d", length, p.limits.BodyBytes)
			return
		}
		if !p.reserve(length) {
			return
		}
		p.bodyRemaining, p.state = length, fixedBody
	case length == 0 || !p.response:
		p.state = complete
	default:
		m.Close, p.state = true, untilClose
	}
}

// framing returns the framing of the body: its length, or -1 without Content-Length, and whether it is chunked. It
// rejects lengths that conflict with each other or with chunked encoding, since they allow request smuggling.
func (p *Parser) framing() (length int, chunked, ok bool) {
	length = -1
	for _, f := range p.message.Fields {
		switch {
		case strings.EqualFold(f.Name, "Content-Length"):
			n, valid := parseDecimal(f.Value)
			if !valid || length >= 0 && n != length {
				p.fail(400, "Content-Length: %q", f.Value)
				return 0, false, false
			}
			length = n
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if !strings.EqualFold(f.Value, "chunked") || chunked || p.message.Minor == 0 {
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

func (p *Parser) parseChunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	n, err := strconv.ParseUint(size, 16, 31)
	if err != nil || size[0] == '+' || size[0] == '_' {
		p.fail(400, "a malformed chunk size")
		return
	}
	if n == 0 {
		p.state = trailer
		return
	}
	if p.BodySink == nil && len(p.message.Body)+int(n) > p.limits.BodyBytes {
		p.fail(413, "a body is longer than %d bytes", p.limits.BodyBytes)
		return
	}
	if !p.reserve(int(n)) {
		return
	}
	p.bodyRemaining, p.state = int(n), chunkData
}

func parseDecimal(s string) (int, bool) {
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

// IsVisibleASCII reports whether s is not empty and consists of visible ASCII characters.
func IsVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

// isToken reports whether s is a token, the syntax of methods and header names (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}
