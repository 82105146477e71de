package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strings"

	"jaylink/operator"
)

// operatorLineRE matches an operator's line in the credentials file.
var operatorLineRE = regexp.MustCompile(`^([A-Za-z0-9._@-]{1,64})\s+credential=([0-9a-f]{32})$`)

// readOperators reads a credentials file. Each operator has a line with the name
// and the output of "jaylink credential" for the token. Empty lines and lines
// that begin with "#" are ignored. It returns the names by credential.
func readOperators(file string) (map[string]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	names := map[string]string{}
	var errs []error
	number := 0
	for line := range strings.Lines(string(data)) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		m := operatorLineRE.FindStringSubmatch(line)
		switch {
		case m == nil:
			errs = append(errs, fmt.Errorf("%s:%d: want NAME credential=HASH, as \"jaylink credential\" prints it", file, number))
		case names[m[2]] != "":
			errs = append(errs, fmt.Errorf("%s:%d: %s and %s have the same credential", file, number, names[m[2]], m[1]))
		default:
			names[m[2]] = m[1]
		}
	}
	if len(names) == 0 && len(errs) == 0 {
		errs = append(errs, fmt.Errorf("%s: names no operator", file))
	}
	return names, errors.Join(errs...)
}

// operators checks the credentials file. Without one, the operator port must be
// on a loopback address.
func (c *settingsChecker) operators(s *Settings) {
	const field = "operators.credentials_file"
	if file := s.Operators.CredentialsFile; file != "" {
		if _, err := readOperators(file); err != nil {
			c.add(field, "%v", err)
		}
		return
	}
	listen, err := netip.ParseAddrPort(s.Listen.Operator)
	if err == nil && !listen.Addr().IsLoopback() {
		c.add(field, "missing; listen.operator is %s, and an open port is allowed on a loopback address only", s.Listen.Operator)
	}
}

// operatorKey is the context key of the authenticated operator's name.
type operatorKey struct{}

// authenticate rejects requests without the token of a known operator. Without a
// credentials file it accepts every request, and the name of the operator is the
// one that the client sends. Metrics need no token, because scrapers have none.
func (e *Entry) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.operators == nil || r.URL.Path == metricsPath {
			next.ServeHTTP(w, r)
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		name := e.operators[Credential(token)]
		if token == "" || name == "" {
			w.Header().Set("WWW-Authenticate", "Bearer")
			e.log.Warn("operator was not let in", "peer", r.RemoteAddr)
			writeFailure(w, http.StatusUnauthorized, errors.New("the token is missing or not known; give it by --token-file"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	})
}

// maxOperatorName bounds the length in bytes of an operator name that a client
// sends.
const maxOperatorName = 64

// operatorName returns the authenticated name of the operator or, without
// authentication, the name that the client sends. It is stored with each write.
func operatorName(r *http.Request) string {
	if name, ok := r.Context().Value(operatorKey{}).(string); ok {
		return name
	}
	name := r.Header.Get(operator.HeaderOperator)
	return name[:min(len(name), maxOperatorName)]
}
