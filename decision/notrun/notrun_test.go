package notrun

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRefusalOfAnotherRequestIsAProof(t *testing.T) {
	cases := map[string]struct {
		refusal Refusal
		want    Proof
	}{
		"named, new connection":          {Refusal{Named: true, Requests: 1}, Named},
		"named, used connection":         {Refusal{Named: true, Requests: 7}, Named},
		"named, after strays":            {Refusal{Named: true, Requests: 2, Strays: 1}, Named},
		"unnamed, new connection":        {Refusal{Requests: 1}, Unnamed},
		"named, where it has to be":      {Refusal{Named: true, NeedsName: true, Requests: 1}, Named},
		"unnamed, where a name is due":   {Refusal{NeedsName: true, Requests: 1}, None},
		"unnamed, used connection":       {Refusal{Requests: 2}, None},
		"unnamed, after a stray":         {Refusal{Requests: 1, Strays: 1}, None},
		"unnamed, used and after strays": {Refusal{Requests: 3, Strays: 2}, None},
	}
	for name, c := range cases {
		require.Equal(t, c.want, c.refusal.Proof(), name)
	}
}
