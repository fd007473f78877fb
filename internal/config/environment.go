package config

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// FromEnv reads the file that EDGE_CONFIG names. The other EDGE_* variables, if set, override its values.
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
	if c.PassedSocket, err = passedDescriptor(getenv("EDGE_PASSED_SOCKET")); err != nil {
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

// notPassed is the value of Config.PassedSocket if no socket is passed.
const notPassed = -1

// firstPassed is the first descriptor after the standard streams, with which the platform passes the clients' listening
// socket.
const firstPassed = 3

// passedDescriptor parses the value of EDGE_PASSED_SOCKET: the number of a descriptor, or any other name of the socket,
// which is then passed as descriptor 3. An empty value means that no socket is passed.
func passedDescriptor(text string) (int, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return notPassed, nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil {
		return firstPassed, nil // the value is a name
	}
	if descriptor < firstPassed {
		return 0, fmt.Errorf("EDGE_PASSED_SOCKET: descriptor %d is a standard stream; expected 3 or above", descriptor)
	}
	return descriptor, nil
}
