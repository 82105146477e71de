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

// operatorLineRE is the form of a line of the credentials file.
var operatorLineRE = regexp.MustCompile(`^([A-Za-z0-9._@-]{1,64})\s+credential=([0-9a-f]{32})$`)

// readOperators reads a credentials file: a line for each operator with the
// name and what "jaylink credential" prints for the token. Empty lines and
// lines that begin with "#" are passed over. It returns the names by credential.
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

// operators checks the file, or that the port is reachable from this host only.
func (c *settingsCheck) operators(s *Settings) {
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

// authenticate lets in operators whose token's credential is known. Without a
// credentials file everyone is let in, with the name that they give. Metrics
// are open, because scrapers have no token.
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

// maxOperatorName bounds the name of an operator in bytes.
const maxOperatorName = 64

// operatorName returns who is writing, for the operators who come after.
func operatorName(r *http.Request) string {
	if name, ok := r.Context().Value(operatorKey{}).(string); ok {
		return name
	}
	name := r.Header.Get(operator.HeaderOperator)
	return name[:min(len(name), maxOperatorName)]
}
