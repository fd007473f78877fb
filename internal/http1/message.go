package http1

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Field is one header line.
type Field struct{ Name, Value string }

// Message is a request or a response that was received whole.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Minor          int    // of HTTP/1.x
	Fields         []Field
	Body           []byte
	Close          bool      // the connection ends with this message
	ReceivedAt     time.Time // of a request to a Server: when its last byte came
}

// Get returns the first header of a name, in any case, or "".
func (m *Message) Get(name string) string {
	for i := range m.Fields {
		if strings.EqualFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return ""
}

// headerContains says whether a comma-separated header contains a word, in any case.
func (m *Message) headerContains(name, word string) bool {
	for i := range m.Fields {
		if !strings.EqualFold(m.Fields[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(m.Fields[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), word) {
				return true
			}
		}
	}
	return false
}

// Path is the target's path, without its query.
func (m *Message) Path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// Cookie returns a cookie's value, or "".
func (m *Message) Cookie(name string) string {
	for i := range m.Fields {
		if !strings.EqualFold(m.Fields[i].Name, "Cookie") {
			continue
		}
		for pair := range strings.SplitSeq(m.Fields[i].Value, ";") {
			if k, v, ok := strings.Cut(strings.TrimSpace(pair), "="); ok && k == name {
				return v
			}
		}
	}
	return ""
}

// Writer writes messages through a ring to a connection.
type Writer struct {
	ring *Ring
	dst  io.Writer
}

// NewWriter makes a writer with a ring of size bytes.
func NewWriter(dst io.Writer, size int) *Writer { return &Writer{NewRing(size), dst} }

// Write puts bytes into the ring, and sends the ring whenever it is full. Flush sends the rest.
func (w *Writer) Write(p []byte) (int, error) {
	done := 0
	for {
		done += w.ring.Put(p[done:])
		if done == len(p) {
			return done, nil
		}
		if err := w.ring.Flush(w.dst, 0); err != nil {
			return done, err
		}
	}
}

// Flush sends what the ring holds. Until it has returned without an error, the message's last byte is not
// written.
func (w *Writer) Flush() error { return w.ring.Flush(w.dst, 0) }

// FlushAllButLastByte sends what the ring holds but for its last byte, which only Flush sends.
func (w *Writer) FlushAllButLastByte() error { return w.ring.Flush(w.dst, 1) }

func (w *Writer) writeFields(fields []Field, body []byte, bare bool) error {
	for _, f := range fields {
		if _, err := io.WriteString(w, f.Name+": "+f.Value+"\r\n"); err != nil {
			return err
		}
	}
	length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if bare {
		length = "\r\n"
	}
	if _, err := io.WriteString(w, length); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

// Request puts a request into the ring; Flush sends its last bytes.
func (w *Writer) Request(method, target string, fields []Field, body []byte) error {
	if _, err := io.WriteString(w, method+" "+target+" HTTP/1.1\r\n"); err != nil {
		return err
	}
	return w.writeFields(fields, body, len(body) == 0 && method != "POST" && method != "PUT")
}

// Response sends a response.
func (w *Writer) Response(r *Response) error {
	line := "HTTP/1.1 " + strconv.Itoa(r.Status) + " " + reasonPhrase(r.Status) + "\r\n"
	if _, err := io.WriteString(w, line); err != nil {
		return err
	}
	fields := r.Fields
	if r.Close {
		fields = append(fields[:len(fields):len(fields)], Field{"Connection", "close"})
	}
	if err := w.writeFields(fields, r.Body, r.Status == 204); err != nil {
		return err
	}
	return w.Flush()
}

// Response is an answer to a request.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	Close  bool
	// Stream, if set, writes the body in place of Body, in chunks, for as long as the client reads. The connection ends
	// with it.
	Stream func(ctx context.Context, w io.Writer) error
	// KnownClient is not sent: the request came from one of the handler's own clients, whose connection is closed for
	// another later than those of strangers.
	KnownClient bool
}

// writeStream sends a response whose body is written in chunks as it comes.
func (w *Writer) writeStream(ctx context.Context, r *Response) error {
	head := "HTTP/1.1 " + strconv.Itoa(r.Status) + " " + reasonPhrase(r.Status) + "\r\n"
	framing := []Field{{"Transfer-Encoding", "chunked"}, {"Connection", "close"}}
	for _, f := range append(r.Fields[:len(r.Fields):len(r.Fields)], framing...) {
		head += f.Name + ": " + f.Value + "\r\n"
	}
	if _, err := io.WriteString(w, head+"\r\n"); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := r.Stream(ctx, chunkWriter{w}); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "0\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// chunkWriter sends each piece as a chunk, at once.
type chunkWriter struct{ w *Writer }

func (c chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil // it would end the body
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), c.w.Flush()
}

// RetryAfter is the header that tells a client how long to wait before a retry.
func RetryAfter(d time.Duration) Field {
	return Field{"Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}
}

// Text makes a short response in plain text.
func Text(status int, format string, args ...any) Response {
	return Response{Status: status, Fields: []Field{{"Content-Type", "text/plain"}},
		Body: []byte(fmt.Sprintf(format, args...) + "\n")}
}

// JSON is a response with a value as its body, or status 500 where the value can not be encoded.
func JSON(status int, value any) Response {
	body, err := json.Marshal(value)
	if err != nil {
		return Text(500, "%v", err)
	}
	return Response{
		Status: status,
		Fields: []Field{{Name: "Content-Type", Value: "application/json"}},
		Body:   body,
	}
}

func reasonPhrase(status int) string {
	if text, ok := reasonPhrases[status]; ok {
		return text
	}
	return "Status"
}

var reasonPhrases = map[int]string{
	200: "OK", 201: "Created", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
	501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}
