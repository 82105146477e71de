package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"jaylink/api"
)

const (
	// headerLabelPrefix starts the headers that set a label of the request.
	headerLabelPrefix = "Jaylink-Label-"
	// maxPathLabels is the number of path segments that become labels.
	maxPathLabels = 4
	// credentialBytes is the length of the hash of a bearer token.
	credentialBytes = 16
)

// requestLabels returns what selectors see of a request: "method", "path",
// "path.1" to "path.4" for its segments, "credential" for the hash of a bearer
// token, and a label for each Jaylink-Label header, in lower case.
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
		if _, taken := l[key]; taken {
			return nil, fmt.Errorf("header %s sets a label that comes from the request itself", name)
		}
		if err := api.CheckLabelValue(values[0]); err != nil {
			return nil, fmt.Errorf("header %s: %w", name, err)
		}
		l[key] = values[0]
	}
	return l, nil
}

// Credential returns the "credential" label of a bearer token: the start of its
// SHA-256 hash in hexadecimal, so that no secret stands in a selector.
func Credential(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:credentialBytes])
}
