package api

import (
	"fmt"
	"strings"
)

// Maximum lengths of label keys and values in bytes.
const (
	maxLabelKeyLength   = 128
	maxLabelValueLength = 256
)

// reservedLabelChars are the characters that have a meaning in the text form of
// selectors, and NUL, which satisfiable uses as a value that no label has.
const reservedLabelChars = "=!,() \t\r\n\x00"

// CheckLabelKey returns an error unless key is a valid label key.
func CheckLabelKey(key string) error {
	if key == "" {
		return fmt.Errorf("label key is empty")
	}
	if len(key) > maxLabelKeyLength {
		return fmt.Errorf("label key %.20q... is %d bytes long, at most %d are allowed", key, len(key), maxLabelKeyLength)
	}
	if strings.ContainsAny(key, reservedLabelChars) || key == "*" {
		return fmt.Errorf("label key %q has a character that is not allowed (any of = ! , ( ) or white space)", key)
	}
	return nil
}

// CheckLabelValue returns an error unless value is a valid label value.
func CheckLabelValue(value string) error {
	if len(value) > maxLabelValueLength {
		return fmt.Errorf("label value %.20q... is %d bytes long, at most %d are allowed", value, len(value), maxLabelValueLength)
	}
	if strings.ContainsAny(value, reservedLabelChars) {
		return fmt.Errorf("label value %q has a character that is not allowed (any of = ! , ( ) or white space)", value)
	}
	return nil
}
