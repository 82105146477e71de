package api

import (
	"fmt"
	"strings"
)

// Bounds on labels in bytes.
const (
	maxLabelKeyLength   = 128
	maxLabelValueLength = 256
)

// labelSpecial are the characters that the text form of selectors uses itself.
const labelSpecial = "=!,() \t\r\n\x00"

// CheckLabelKey returns an error unless key can be the key of a label.
func CheckLabelKey(key string) error {
	if key == "" {
		return fmt.Errorf("label key is empty")
	}
	if len(key) > maxLabelKeyLength {
		return fmt.Errorf("label key %.20q... is %d bytes long, at most %d are allowed", key, len(key), maxLabelKeyLength)
	}
	if strings.ContainsAny(key, labelSpecial) || key == "*" {
		return fmt.Errorf("label key %q has a character that is not allowed (any of = ! , ( ) or white space)", key)
	}
	return nil
}

// CheckLabelValue returns an error unless value can be the value of a label.
func CheckLabelValue(value string) error {
	if len(value) > maxLabelValueLength {
		return fmt.Errorf("label value %.20q... is %d bytes long, at most %d are allowed", value, len(value), maxLabelValueLength)
	}
	if strings.ContainsAny(value, labelSpecial) {
		return fmt.Errorf("label value %q has a character that is not allowed (any of = ! , ( ) or white space)", value)
	}
	return nil
}
