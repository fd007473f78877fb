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

// Message is a completely received request or response.
type Message struct {
	Method, Target string // requests only
	Status         int    // responses only
	Minor          int    // minor version x of HTTP/1.x
	Fields         []Field
	Body           []byte
	Close          bool      // the connection closes after this message
	ReceivedAt     time.Time // when a Server received the last byte of the request
}

// Get returns the value of the first header with the name, or "". Names are compared case-insensitively.
func (m *Message) Get(name string) string {
	for i := range m.Fields {
		if strings.EqualFold(m.Fields[i].Name, name) {
			return m.Fields[i].Value
		}
	}
	return ""
}

// headerContains reports whether a comma-separated header contains a token, compared case-insensitively.
func (m *Message) headerContains(name, token string) bool {
	for i := range m.Fields {
		if !strings.EqualFold(m.Fields[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(m.Fields[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// Path returns the target without its query.
func (m *Message) Path() string {
	path, _, _ := strings.Cut(m.Target, "?")
	return path
}

// Cookie returns the value of the cookie with the name, or "".
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

// Writer writes messages to a connection through a ring buffer.
type Writer struct {
	ring *Ring
	dst  io.Writer
}

// NewWriter returns a writer with a ring of size bytes.
func NewWriter(dst io.Writer, size int) *Writer { return &Writer{NewRing(size), dst} }

// Write copies p into the ring and flushes the ring whenever it is full. Flush sends the remaining bytes.
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

// Flush sends all bytes in the ring. The last byte of a message is written only by a Flush that returns no error.
func (w *Writer) Flush() error { return w.ring.Flush(w.dst, 0) }

// FlushAllButLastByte sends all bytes in the ring except the last, which only Flush sends.
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

// Request writes a request into the ring. The caller must call Flush to send its last bytes.
func (w *Writer) Request(method, target string, fields []Field, body []byte) error {
	if _, err := io.WriteString(w, method+" "+target+" HTTP/1.1\r\n"); err != nil {
		return err
	}
	return w.writeFields(fields, body, len(body) == 0 && method != "POST" && method != "PUT")
}

// Response writes a response and flushes the ring.
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

// Response is the response to a request.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
	Close  bool
	// Stream, if set, writes the body in chunks, in place of Body, for as long as the client reads. The connection is
	// closed after it.
	Stream func(ctx context.Context, w io.Writer) error
	// KnownClient is not sent. It marks the request as one of a known client, whose connection is evicted later than
	// those of unknown clients.
	KnownClient bool
}

// writeStream sends a response whose body r.Stream writes in chunks.
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

// chunkWriter sends each write as one chunk and flushes it.
type chunkWriter struct{ w *Writer }

func (c chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil // an empty chunk would end the body
	}
	if _, err := fmt.Fprintf(c.w, "%x\r\n%s\r\n", len(p), p); err != nil {
		return 0, err
	}
	return len(p), c.w.Flush()
}

// RetryAfter returns the Retry-After header for a delay, in seconds with a fraction.
func RetryAfter(d time.Duration) Field {
	return Field{"Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64)}
}

// Text returns a plain-text response.
func Text(status int, format string, args ...any) Response {
	return Response{Status: status, Fields: []Field{{"Content-Type", "text/plain"}},
		Body: []byte(fmt.Sprintf(format, args...) + "\n")}
}

// JSON returns a response with the JSON encoding of value as its body, or a response with status 500 if the encoding
// fails.
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
