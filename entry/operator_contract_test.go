package entry

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/operator"
)

// badOperatorRequestCase is an invalid request to the operator port with the
// expected status and a part of the expected body.
type badOperatorRequestCase struct {
	name, method, path, body string
	status                   int
	want                     string
}

const validCustomer = `{"kind":"Customer","name":"new","spec":{"selector":"account=new"}}`

func applyBody(objects ...string) string { return `{"objects":[` + strings.Join(objects, ",") + `]}` }

var badOperatorRequestCases = []badOperatorRequestCase{
	{"invalid JSON", "POST", "/v1/apply", "{", 400, "unexpected EOF"},
	{"no body", "POST", "/v1/apply", "", 400, "found null"},
	{"null body", "POST", "/v1/apply", "null", 400, "found null"},
	{"text after the body", "POST", "/v1/apply", "{} {}", 400, "more text"},
	{"unknown field", "POST", "/v1/apply", `{"object":[]}`, 400, "unknown field"},
	{"body too large", "POST", "/v1/apply", `{"objects":["` + strings.Repeat("x", 70<<10) + `"]}`, 413, "too large"},
	{"null object", "POST", "/v1/apply", applyBody(validCustomer, "null"), 400, "objects[1]"},
	{"object of a wrong type", "POST", "/v1/apply", applyBody(validCustomer, "3"), 400, "objects[1]"},
	{"unknown kind", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Nope","name":"x"}`), 400, "unknown kind"},
	{"unknown field of a spec", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"x","spec":{"selecter":"a"}}`), 400, "selecter"},
	{"bad selector", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"x","spec":{"selector":"a in (1"}}`), 400, "missing )"},
	{"missing spec", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"x"}`), 422, `"field":"spec"`},
	{"null spec", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Upstream","name":"x","spec":null}`), 422, `"field":"spec"`},
	{"deletion by apply", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"c","deleted":true}`), 400, "deleted"},
	{"bad name", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"A/b","spec":{"selector":"x=1"}}`), 422, `"field":"name"`},
	{"bad address", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Upstream","name":"x","spec":{"address":"x","protocol":"http","availability_zone":"a","region":"r"}}`), 422, "ip:port"},
	{"one object twice", "POST", "/v1/apply", applyBody(validCustomer, validCustomer), 422, "stands twice"},
	{"ambiguous selector", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"x","spec":{"selector":"account=c"}}`), 422, "ambiguous"},
	{"stale version", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"c","version":1,"spec":{"selector":"account=other"}}`), 409, `"current":{"kind":"Customer"`},
	{"no version", "POST", "/v1/apply", applyBody(validCustomer, `{"kind":"Customer","name":"c","spec":{"selector":"account=other"}}`), 409, `"version":`},
	{"unknown kind in a path", "GET", "/v1/objects/Nope", "", 404, "unknown kind"},
	{"unknown kind of an object", "GET", "/v1/objects/Nope/x", "", 404, "unknown kind"},
	{"missing object", "GET", "/v1/objects/Customer/none", "", 404, "no such object"},
	{"delete of a missing object", "DELETE", "/v1/objects/Customer/none?version=0", "", 404, "no such object"},
	{"delete without a version", "DELETE", "/v1/objects/Customer/c", "", 400, "version"},
	{"delete of a stale version", "DELETE", "/v1/objects/Customer/c?version=1", "", 409, `"current":{"kind":"Customer"`},
	{"labels of a missing object", "POST", "/v1/objects/Customer/none/labels", `{"set":{"a":"b"}}`, 404, "none"},
	{"bad label", "POST", "/v1/objects/Customer/c/labels", `{"set":{"a":"b c"}}`, 422, "not allowed"},
	{"labels of a wrong type", "POST", "/v1/objects/Customer/c/labels", `{"set":[]}`, 400, "unmarshal"},
	{"stale label", "POST", "/v1/objects/Customer/c/labels", `{"set":{"a":"b"},"expect":{"a":"c"},"version":1}`, 409, `"current"`},
	{"unknown path", "GET", "/v1/nope", "", 404, "no such path"},
	{"root", "GET", "/", "", 404, "no such path"},
	{"wrong method", "PUT", "/v1/apply", "{}", 405, "not allowed"},
	{"wrong method on an object", "PATCH", "/v1/objects/Customer/c", "{}", 405, "not allowed"},
}

// Every invalid request gets a JSON response with the reason. A rejected apply
// changes nothing, not even the valid objects in it.
func TestOperatorPortRefusesBadInput(t *testing.T) {
	f := newFixture(t)
	url := "http://" + f.settings.Listen.Operator
	before := currentObjects(t, f)
	for _, c := range badOperatorRequestCases {
		t.Run(c.name, func(t *testing.T) {
			a := sendTo(t, c.method, url+c.path, c.body)
			require.Equal(t, c.status, a.StatusCode, a.body)
			require.Equal(t, "application/json", a.Header.Get("Content-Type"))
			require.True(t, json.Valid([]byte(a.body)), a.body)
			require.Contains(t, a.body, c.want)
			require.Equal(t, before, currentObjects(t, f))
		})
	}
}

// The client returns the failures of the operator port as typed errors or as
// results of an apply.
func TestOperatorClientReturnsFailures(t *testing.T) {
	f := newFixture(t)
	c := f.client()
	_, err := c.Get(t.Context(), api.Key{Kind: api.KindCustomer, Name: "none"})
	var failed *operator.StatusError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, 404, failed.Status)
	err = c.Delete(t.Context(), api.Key{Kind: api.KindCustomer, Name: "c"}, 1)
	require.ErrorAs(t, err, &failed)
	require.Equal(t, 409, failed.Status)
	require.Equal(t, "c", failed.Failure.Current.Name)
	o, err := c.Get(t.Context(), api.Key{Kind: api.KindCustomer, Name: "c"})
	require.NoError(t, err)
	o.Version, o.Labels = 0, api.Labels{"x": "y"}
	reply, err := c.Apply(t.Context(), operator.ApplyRequest{Objects: []*api.Object{o}})
	require.NoError(t, err)
	require.Equal(t, operator.StatusConflict, reply.Results[0].Status)
	require.NotZero(t, reply.Results[0].Current.Version)
}

// An object stores the name of the operator who last wrote it, and a rejected
// stale write returns it.
func TestStaleWriteSaysWhoChangedTheObject(t *testing.T) {
	f := newFixture(t)
	c := f.client()
	c.Operator = "asha"
	key := api.Key{Kind: api.KindCustomer, Name: "c"}
	old, err := c.Get(t.Context(), key)
	require.NoError(t, err)
	_, err = c.Label(t.Context(), key, operator.LabelRequest{Set: api.Labels{"tier": "gold"}})
	require.NoError(t, err)
	c.Operator = "nils"
	_, err = c.Label(t.Context(), key, operator.LabelRequest{Set: api.Labels{"tier": "tin"}, Version: old.Version})
	var failed *operator.StatusError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, "asha", failed.Failure.Current.Operator)
	require.Equal(t, "gold", failed.Failure.Current.Labels["tier"])
}

func currentObjects(t *testing.T, f *fixture) string {
	t.Helper()
	return sendTo(t, "GET", "http://"+f.settings.Listen.Operator+"/v1/objects", "").body
}
