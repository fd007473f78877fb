package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"gatetack/drmaa2"
)

// templateFlags are the flags that fill a job template. Most flags set an attribute directly; the values of the others
// are parsed or read from a file.
type templateFlags struct {
	template drmaa2.Template
	file     string // template file whose attributes the flags override
	payload  string // payload, or @ and the name of its file
	start    string
	deadline string
}

// register adds the flags to cmd.
func (f *templateFlags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVarP(&f.file, "file", "f", "", "a job template as JSON or YAML; flags go before it")
	flags.StringVar(&f.template.JobCategory, "category", "", "the class")
	flags.StringVar(&f.template.AccountingID, "account", "", "the tenant")
	flags.StringVar(&f.template.JobName, "name", "", "a name for people")
	flags.StringVar(&f.template.RemoteCommand, "command", "", "the path, which begins with the class")
	flags.StringArrayVar(&f.template.Args, "arg", nil, "an argument; may be repeated")
	flags.StringVar(&f.payload, "payload", "", "the body; @FILE reads it, @- from standard input")
	flags.BoolVar(&f.template.SubmitAsHold, "hold", false, "wait until it is released")
	flags.IntVar(&f.template.Priority, "priority", 0, "order among this session's jobs that wait; higher goes first")
	flags.StringVar(&f.start, "start", "", "not before: a time (RFC 3339), or a span from now such as 5m")
	flags.StringVar(&f.deadline, "deadline", "", "when to give up, likewise")
	flags.IntVar(&f.template.MinSlots, "slots", 0, "slots on one executor")
	flags.StringVar(
		&f.template.IdempotencyKey,
		"key",
		"",
		"a submission under a key that was used gives the first job back",
	)
}

// fill returns the template that the file and the flags describe. Flags that were set override the file.
func (f *templateFlags) fill(cmd *cobra.Command) (drmaa2.Template, error) {
	template := f.template
	if f.file != "" {
		var err error
		if template, err = readTemplate(f.file); err != nil {
			return template, err
		}
		f.override(cmd, &template)
	}
	if f.payload != "" {
		payload, err := readPayload(cmd, f.payload)
		if err != nil {
			return template, err
		}
		template.Payload = payload
	}
	start, err := parseMoment("start", f.start)
	if err != nil {
		return template, err
	}
	if start != nil {
		template.StartTime = start
	}
	deadline, err := parseMoment("deadline", f.deadline)
	if err != nil {
		return template, err
	}
	if deadline != nil {
		template.DeadlineTime = deadline
	}
	return template, nil
}

// readTemplate reads a job template from a YAML file. JSON is accepted too, since it is a subset of YAML.
func readTemplate(file string) (template drmaa2.Template, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return template, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&template); err != nil {
		return template, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return template, nil
}

// override replaces the attributes of a template whose flags were set.
func (f *templateFlags) override(cmd *cobra.Command, template *drmaa2.Template) {
	changed := cmd.Flags().Changed
	if changed("category") {
		template.JobCategory = f.template.JobCategory
	}
	if changed("account") {
		template.AccountingID = f.template.AccountingID
	}
	if changed("name") {
		template.JobName = f.template.JobName
	}
	if changed("command") {
		template.RemoteCommand = f.template.RemoteCommand
	}
	if changed("arg") {
		template.Args = f.template.Args
	}
	if changed("hold") {
		template.SubmitAsHold = f.template.SubmitAsHold
	}
	if changed("priority") {
		template.Priority = f.template.Priority
	}
	if changed("slots") {
		template.MinSlots = f.template.MinSlots
	}
	if changed("key") {
		template.IdempotencyKey = f.template.IdempotencyKey
	}
}

// readPayload returns the payload that a flag describes: its text, the contents of the file after @, or standard input
// for @-.
func readPayload(cmd *cobra.Command, flag string) (string, error) {
	name, isFile := strings.CutPrefix(flag, "@")
	if !isFile {
		return flag, nil
	}
	if name == "-" {
		data, err := io.ReadAll(cmd.InOrStdin())
		return string(data), err
	}
	data, err := os.ReadFile(name)
	return string(data), err
}

// parseMoment parses the value of a flag: an RFC 3339 time or a span from now. It returns nil if the value is empty.
func parseMoment(flag, text string) (*time.Time, error) {
	if text == "" {
		return nil, nil
	}
	if span, err := time.ParseDuration(text); err == nil {
		at := time.Now().Add(span)
		return &at, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return nil, usageError{fmt.Errorf("--%s: %q is neither a time nor a span", flag, text)}
	}
	return &at, nil
}
