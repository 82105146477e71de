package upstream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Record is what an upstream notes at once of a request, so that it is known after the
// upstream's process was killed. One field is set.
type Record struct {
	Arrival   *Arrival   `json:",omitempty"`
	Run       *Run       `json:",omitempty"`
	PartCrash *PartCrash `json:",omitempty"`
	Work      *Work      `json:",omitempty"`
}

// record writes a record as one line. The upstream can't go on if that fails.
func (s *Server) record(r Record) {
	if s.Records == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = s.Records.Write(append(line, '\n'))
	}
	if err != nil {
		s.Exit(err)
	}
}

// ReadRecords reads records until the end. It leaves out a last line that was not written whole.
func ReadRecords(r io.Reader) ([]Record, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data[:bytes.LastIndexByte(data, '\n')+1]))
	var out []Record
	for {
		var next Record
		switch err := decoder.Decode(&next); {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, err
		}
		out = append(out, next)
	}
}
