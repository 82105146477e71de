package entry

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"jaylink/api"
	"jaylink/internal/testfleet"
	"jaylink/peer/peerpb"
	"jaylink/upstream"
)

// costRecord returns the record of a streaming completion with a prompt and an
// answer so far of the given sizes in bytes.
func costRecord(id, prompt, text int) *Record {
	p := strings.Repeat("x", prompt)
	c := &upstream.Completion{Model: "m", Prompt: p, MaxTokens: 1000, Stream: true}
	call := Call{Method: http.MethodPost, URI: completionsPath, Completion: c, Header: http.Header{"Content-Type": {"application/json"}}}
	call.Body = []byte(`{"model":"m","max_tokens":1000,"stream":true,"prompt":"` + p + `"}`)
	rec := newRecord(fmt.Sprintf("%032x.entry-surat-a", id), call, time.Now())
	rec.Labels = api.Labels{
		"app": "captions", "credential": strings.Repeat("0", 32), "method": "POST", "path": completionsPath,
		"path.1": "v1", "path.2": "completions",
	}
	rec.service, rec.customer = "caption-lm", "desai-parivar"
	rec.text = make([]byte, text)
	return rec
}

func costMember(name string) *peerpb.Member {
	return &peerpb.Member{
		Name: name, Address: "10.0.0.1:20102", CallerAddress: "10.0.0.1:20100",
		AvailabilityZone: "surat-a", Region: "west-guj", Incarnation: 1 << 60,
	}
}

// The size of a copy is that of the prompt and the answer plus an overhead,
// which is reported as a figure.
func TestHandoverCost(t *testing.T) {
	const prompt, text = 1024, 4096
	rec := costRecord(1, prompt, text)
	rec.ownership.holders = []*peerpb.Member{costMember("entry-surat-a-2"), costMember("entry-surat-b-1")}
	size := proto.Size(rec.toCopy(costMember("entry-surat-a")))
	testfleet.Figure("handover_copy_overhead_bytes", float64(size-prompt-text), "B")
	update := proto.Size(&peerpb.FollowUpdate{
		Role: peerpb.Role_ROLE_OWNER, Epoch: 1, Owner: costMember("entry-surat-a"), Tokens: 500, Offset: text,
	})
	testfleet.Figure("handover_update_overhead_bytes", float64(update), "B")
	require.Less(t, size, 2*(prompt+text))
}

// Reports the memory that an accepted request takes in addition to its prompt
// and answer.
func TestRecordMemory(t *testing.T) {
	const records, prompt, text = 5000, 1024, 4096
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	r := newRegistry(0)
	for i := range records {
		r.add(costRecord(i, prompt, text))
	}
	perRecord := float64(heap()-before) / records
	// The prompt is stored twice: in the body and in the completion.
	testfleet.Figure("record_overhead_bytes", perRecord-2*prompt-text, "B")
	runtime.KeepAlive(r)
}
