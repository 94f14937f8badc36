package reqlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"trefoilthread/io/logs"
)

// maxLine bounds a line in bytes. Lines of agents have a few hundred bytes;
// longer ones are skipped as unreadable.
const maxLine = 256 << 10

// requestEnded is the message of io/agent at the end of a request.
const requestEnded = "request ended"

// entry is one log line. Fields are decoded only for messages that are read,
// since those of others may have other types.
type entry struct {
	Message string          `json:"message"`
	Fields  json.RawMessage `json:"fields"`
}

// request is the fields of a line about the end of a request.
type request struct {
	Route  string `json:"route"`
	Status int    `json:"status"`
	// TookMs is missing if the request was answered before it was sent to any
	// target, GoalMs in lines of older agents and for routes without a goal.
	TookMs  *uint32 `json:"tookMs"`
	GoalMs  uint32  `json:"goalMs"`
	Hedged  bool    `json:"hedged"`
	LeftOut uint32  `json:"leftOut"`
}

// isValid reports whether an agent may have written the fields.
func (r request) isValid() bool {
	return r.Status >= 100 && r.Status <= 599 && (r.Route == "" || r.TookMs != nil)
}

// Read adds the lines of a log. Errors are those of the reader.
func (l *Log) Read(in io.Reader) error {
	r := bufio.NewReaderSize(in, maxLine)
	for {
		line, err := nextLine(r)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		l.addLine(line)
	}
}

// nextLine returns the next line, empty if it is too long.
func nextLine(r *bufio.Reader) ([]byte, error) {
	line, isCut, err := r.ReadLine()
	if !isCut {
		return line, err
	}
	for isCut && err == nil {
		_, isCut, err = r.ReadLine()
	}
	if err == io.EOF { // the long line was the last one
		err = nil
	}
	return nil, err
}

// addLine counts a line, and the request that it is about.
func (l *Log) addLine(line []byte) {
	l.lines.Total++
	start := bytes.IndexByte(line, '{')
	var e entry
	if start < 0 || json.Unmarshal(line[start:], &e) != nil {
		l.lines.Unreadable++
		return
	}
	if len(bytes.TrimSpace(line[:start])) > 0 {
		l.lines.Prefixed++
	}
	switch e.Message {
	case requestEnded:
		var r request
		if json.Unmarshal(e.Fields, &r) != nil || !r.isValid() {
			l.lines.Unreadable++
			return
		}
		l.lines.Requests++
		l.add(r)
	case logs.MessageLeftOut:
		var f struct {
			Lines uint32 `json:"lines"`
		}
		if json.Unmarshal(e.Fields, &f) != nil {
			l.lines.Unreadable++
			return
		}
		l.lines.Other++
		l.lines.LeftOut += int(f.Lines)
	default:
		l.lines.Other++
	}
}
