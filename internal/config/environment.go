package config

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// FromEnv reads EDGE_CONFIG and lets the other variables stand for what it lacks.
func FromEnv(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if c.Passed, err = passedDescriptor(getenv("EDGE_PASSED_SOCKET")); err != nil {
		return nil, err
	}
	for _, variable := range []struct {
		name   string
		target *string
	}{
		{"EDGE_NAME", &c.Name}, {"EDGE_LISTEN", &c.Listen},
		{"EDGE_DISCOVERY", &c.Discovery}, {"EDGE_OPERATOR", &c.Operator},
	} {
		if text := getenv(variable.name); text != "" {
			*variable.target = text
		}
	}
	return c, nil
}

// notPassed is the descriptor of a socket that is not passed.
const notPassed = -1

// firstPassed is the descriptor as which the platform passes the clients' listening socket; lower ones are the standard
// streams.
const firstPassed = 3

// passedDescriptor reads EDGE_PASSED_SOCKET: a descriptor's number, or any other name for the socket, which the
// platform passes as descriptor 3. Empty: none is passed.
func passedDescriptor(text string) (int, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return notPassed, nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil {
		return firstPassed, nil // a name
	}
	if descriptor < firstPassed {
		return 0, fmt.Errorf("EDGE_PASSED_SOCKET: descriptor %d is a standard stream; expected 3 or above", descriptor)
	}
	return descriptor, nil
}
