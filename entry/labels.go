package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"jaylink/api"
	"jaylink/upstream"
)

const (
	// headerLabelPrefix is the prefix of headers that set a label of the
	// request.
	headerLabelPrefix = "Jaylink-Label-"
	// maxPathLabels is the maximum number of path segments that become
	// labels.
	maxPathLabels = 4
	// credentialBytes is the length of the truncated hash of a bearer
	// token.
	credentialBytes = 16
)

// requestLabels returns the labels of a request that selectors match: "method",
// "path", "path.1" to "path.4" for the path segments, "credential" for the hash
// of a bearer token, and one label for each header with the prefix
// Jaylink-Label-, with its key in lower case.
func requestLabels(r *http.Request) (api.Labels, error) {
	l := api.Labels{"method": r.Method, "path": r.URL.Path}
	segments := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	for i, s := range segments {
		if i == maxPathLabels {
			break
		}
		l[fmt.Sprintf("path.%d", i+1)] = s
	}
	if token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		l["credential"] = Credential(token)
	}
	for name, values := range r.Header {
		key, ok := strings.CutPrefix(name, headerLabelPrefix)
		if !ok {
			continue
		}
		key = strings.ToLower(key)
		if err := checkLabelHeader(key, values); err != nil {
			return nil, fmt.Errorf("header %s: %w", name, err)
		}
		l[key] = values[0]
	}
	return l, nil
}

// reservedLabels are the labels that callers can't set by a header, because
// they are derived from the request itself or from the objects it matched.
var reservedLabels = []string{"method", "path", "credential", "service", "customer"}

func checkLabelHeader(key string, values []string) error {
	first, _, _ := strings.Cut(key, ".")
	if slices.Contains(reservedLabels, first) {
		return fmt.Errorf("callers can't set the label %q", key)
	}
	if len(values) != 1 {
		return fmt.Errorf("sent %d times; once is allowed", len(values))
	}
	if err := api.CheckLabelKey(key); err != nil {
		return err
	}
	return api.CheckLabelValue(values[0])
}

// singleHeaders are the headers that may occur only once, because repeated
// values would be ambiguous.
var singleHeaders = []string{"Authorization", upstream.HeaderIdempotencyKey, headerLastEventID}

// maxKeyLength is the maximum length of an idempotency key in bytes.
const maxKeyLength = 256

// checkHeaders rejects ambiguous headers and invalid idempotency keys.
func checkHeaders(h http.Header) error {
	for _, name := range singleHeaders {
		if n := len(h.Values(name)); n > 1 {
			return fmt.Errorf("header %s: sent %d times; once is allowed", name, n)
		}
	}
	keys := h.Values(upstream.HeaderIdempotencyKey)
	if len(keys) == 0 {
		return nil
	}
	if keys[0] == "" || len(keys[0]) > maxKeyLength {
		return fmt.Errorf("header %s: %d bytes long; 1 to %d are allowed", upstream.HeaderIdempotencyKey, len(keys[0]), maxKeyLength)
	}
	return nil
}

// Credential returns the value of the "credential" label for a bearer token:
// the start of its SHA-256 hash in hexadecimal, so that selectors contain no
// secret.
func Credential(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:credentialBytes])
}
