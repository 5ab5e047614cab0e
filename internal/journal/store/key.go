package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"sedgevale/internal/journal"
)

// KeyFile is the name of the key file in a journal's directory, unless the configuration names another file.
const KeyFile = "key"

// maxKeyFileBytes limits how much of a key file is read.
const maxKeyFileBytes = 4097

// KeyPath returns the path of a journal's key file: keyFile, or KeyFile in dir if keyFile is empty.
func KeyPath(dir, keyFile string) string {
	if keyFile != "" {
		return keyFile
	}
	return join(dir, KeyFile)
}

// ReadKey reads a key: at least 64 hexadecimal digits in a file that is accessible only to its owner. The error wraps
// os.ErrNotExist if the file does not exist.
func ReadKey(path string) (secret []byte, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("the journal's key: %w", err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("the journal's key: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("the journal's key %s may be read or written by others (mode %04o): chmod 600 it",
			path, info.Mode().Perm())
	}
	text, err := io.ReadAll(io.LimitReader(f, maxKeyFileBytes))
	if err != nil {
		return nil, fmt.Errorf("the journal's key: %w", err)
	}
	secret, err = hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(secret) < journal.MinKeySize { // the error omits the text, which may be most of a secret
		return nil, fmt.Errorf("the journal's key %s must be at least %d hexadecimal digits", path, 2*journal.MinKeySize)
	}
	return secret, nil
}

// LoadOrCreateKey reads a key, and creates the key file if it does not exist. For a journal with records a missing key file is
// an error, since the records were written with the missing key.
func LoadOrCreateKey(path string, hasRecords bool) ([]byte, error) {
	secret, err := ReadKey(path)
	if !errors.Is(err, os.ErrNotExist) {
		return secret, err
	}
	if hasRecords {
		return nil, fmt.Errorf("%w; the journal has records that were written with this key: put it back, or configure an empty journal directory", err)
	}
	secret = make([]byte, journal.MinKeySize)
	_, _ = rand.Read(secret) // crypto/rand.Read never returns an error
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if errors.Is(err, os.ErrExist) { // the other process of an upgrade created it concurrently
		return ReadKey(path)
	}
	if err != nil {
		return nil, fmt.Errorf("cannot create the journal's key: %w", err)
	}
	_, err = f.WriteString(hex.EncodeToString(secret) + "\n")
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(path)
		return nil, fmt.Errorf("cannot write the journal's key: %w", err)
	}
	return secret, nil
}
