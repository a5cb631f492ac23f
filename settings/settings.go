// Package settings reads and validates settings files, which are JSON with comments.
package settings

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Config is a settings type that Load can fill and validate.
type Config interface {
	// Defaults sets each unset field to its default.
	Defaults()
	// Validate returns a *FieldError for the first invalid field.
	Validate() error
}

// FieldError reports an invalid or unknown field.
type FieldError struct {
	// Field is the field's name in JSON; names of nested fields are joined by dots.
	Field string
	// Problem completes the sentence that begins with the field's name, as in "is unknown".
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("field %q: %s", e.Field, e.Problem) }

// FileError is an error at a line of a settings file.
type FileError struct {
	File string
	// Line counts from 1; it is 0 if the line is unknown.
	Line int
	Err  error
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the error without its position.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads the file into cfg, sets defaults and validates the result. Unknown fields are
// rejected. It returns a *FileError if the content is invalid.
func Load(file string, cfg Config) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "settings.Load")
	}
	if err := Decode(file, data, cfg); err != nil {
		return err
	}
	cfg.Defaults()
	err = cfg.Validate()
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return &FileError{File: file, Line: lineOfField(data, fieldErr.Field), Err: err}
	}
	return err
}

// Decode decodes JSON with comments from data into v and rejects unknown fields. It returns a
// *FileError that names file.
func Decode(file string, data []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	dec := json.NewDecoder(bytes.NewReader(standard))
	dec.DisallowUnknownFields()
	err = dec.Decode(v)
	if err == nil {
		return nil
	}
	offset := dec.InputOffset()
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
		err = &FieldError{Field: typeErr.Field, Problem: "must be of type " + typeErr.Type.String()}
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return &FileError{File: file, Line: lineOfField(data, name), Err: &FieldError{Field: name, Problem: "is unknown"}}
	}
	return &FileError{File: file, Line: lineAt(standard, offset), Err: err}
}

// lineAt returns the line, counted from 1, of a byte offset in data.
func lineAt(data []byte, offset int64) int {
	offset = max(0, min(offset, int64(len(data))))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// lineOfField returns the first line on which the field's name occurs in quotes, or 0. Only the
// last part of a dotted name is searched for.
func lineOfField(data []byte, field string) int {
	name := field[strings.LastIndex(field, ".")+1:]
	i := bytes.Index(data, []byte(`"`+name+`"`))
	if i < 0 {
		return 0
	}
	return lineAt(data, int64(i))
}

// Secret is a secret whose text form is hexadecimal.
type Secret []byte

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	*s = b
	return errors.Wrap(err, "settings.Secret.UnmarshalText")
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(s)), nil
}

// minSecretLen is the length in bytes of the shortest accepted secret.
const minSecretLen = 16

// CheckSecret returns a *FieldError if s is too short.
func CheckSecret(field string, s Secret) error {
	if len(s) < minSecretLen {
		return &FieldError{Field: field, Problem: "must have at least 16 bytes"}
	}
	return nil
}

// CheckAddress returns a *FieldError if a is not an IPv4 address with a port.
func CheckAddress(field string, a netip.AddrPort) error {
	if !a.IsValid() || !a.Addr().Is4() {
		return &FieldError{Field: field, Problem: "must be an IPv4 address and a port"}
	}
	return nil
}

// FirstError returns the first error of errs that is not nil, or nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
