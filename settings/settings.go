// Package settings reads the settings files of processes: JSON with comments.
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

// Config is a settings type that fills and checks itself.
type Config interface {
	Defaults()
	// Validate returns a *FieldError for the first field that is not acceptable.
	Validate() error
}

// FieldError names the field that a settings file got wrong.
type FieldError struct {
	Field   string
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("field %q: %s", e.Field, e.Problem) }

// FileError places an error in a settings file.
type FileError struct {
	File string
	// Line counts from 1; 0 when the line is not known.
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

// Unwrap returns the error in the file.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads the file into cfg, fills defaults and checks it. Errors name file,
// line and field. Unknown fields are refused.
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
	var field *FieldError
	if errors.As(err, &field) {
		return &FileError{File: file, Line: lineOfField(data, field.Field), Err: err}
	}
	return err
}

// Decode reads JSON with comments into v. Errors name file, line and field.
func Decode(file string, data []byte, v any) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	err = dec.Decode(v)
	if err == nil {
		return nil
	}
	offset := dec.InputOffset()
	var typ *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &typ):
		offset = typ.Offset
		err = &FieldError{Field: typ.Field, Problem: "must be of type " + typ.Type.String()}
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case strings.HasPrefix(err.Error(), "json: unknown field "):
		name := strings.Trim(strings.TrimPrefix(err.Error(), "json: unknown field "), `"`)
		return &FileError{File: file, Line: lineOfField(data, name), Err: &FieldError{Field: name, Problem: "is unknown"}}
	}
	return &FileError{File: file, Line: lineAt(plain, offset), Err: err}
}

func lineAt(data []byte, offset int64) int {
	offset = max(0, min(offset, int64(len(data))))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func lineOfField(data []byte, field string) int {
	name := field[strings.LastIndex(field, ".")+1:]
	i := bytes.Index(data, []byte(`"`+name+`"`))
	if i < 0 {
		return 0
	}
	return lineAt(data, int64(i))
}

// Secret is secret bytes, written in hexadecimal.
type Secret []byte

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	b, err := hex.DecodeString(string(text))
	*s = b
	return errors.Wrap(err, "settings.Secret")
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(s)), nil
}

// minSecretLen is the shortest accepted secret in bytes.
const minSecretLen = 16

// CheckSecret refuses a secret that is too short.
func CheckSecret(field string, s Secret) error {
	if len(s) < minSecretLen {
		return &FieldError{Field: field, Problem: "must have at least 16 bytes"}
	}
	return nil
}

// CheckAddress refuses what is not an IPv4 address and a port.
func CheckAddress(field string, a netip.AddrPort) error {
	if !a.IsValid() || !a.Addr().Is4() {
		return &FieldError{Field: field, Problem: "must be an IPv4 address and a port"}
	}
	return nil
}

// FirstError returns the first of the errors that is not nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
