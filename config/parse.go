package config

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes is the maximum size of one file.
const MaxDocumentBytes = 32 << 20

// Parse reads the sections of one file. The error is of type Problems and lists
// every error that can be found without the other files of the document;
// Validate finds the rest.
func Parse(file string, data []byte) ([]Section, error) {
	doc, err := ParseDocument(file, data)
	return doc.Sections, err
}

// ParseDocument reads one file like Parse, including its base revision.
func ParseDocument(file string, data []byte) (Document, error) {
	problems := Problems{}
	d := &decoder{reporter{file: file, problems: &problems}}
	if len(data) > MaxDocumentBytes {
		d.report(position{}, "split it into several files", "file size of %d bytes exceeds the limit of %d", len(data), MaxDocumentBytes)
		return Document{}, problems.errorOrNil()
	}
	root, err := parseNodes(data)
	if err != nil {
		d.reportSyntax(err)
		return Document{}, problems.errorOrNil()
	}
	var doc Document
	d.mapping(root, "the document", []field{
		{name: "base", decode: func(d *decoder, n *yaml.Node) { doc.Base = uint64(d.integer(n, "base", "42", 1, math.MaxInt)) }},
		{name: "sections", required: true, decode: func(d *decoder, n *yaml.Node) {
			d.sequence(n, "sections", func(c *yaml.Node) { doc.Sections = append(doc.Sections, d.section(c)) })
		}},
	})
	if len(problems) > 0 {
		return Document{}, problems.errorOrNil()
	}
	checkNames(doc.Sections, &problems)
	if len(problems) > 0 {
		return Document{}, problems.errorOrNil()
	}
	return doc, nil
}

// parseNodes returns the root node of data, which must contain exactly one YAML
// document.
func parseNodes(data []byte) (*yaml.Node, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc, next yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the file is empty")
		}
		return nil, err
	}
	if err := dec.Decode(&next); !errors.Is(err, io.EOF) {
		if err != nil {
			return nil, err
		}
		return nil, fmt.Errorf("line %d: unexpected second document", next.Line)
	}
	return doc.Content[0], nil
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

func (d *decoder) reportSyntax(err error) {
	pos := position{line: 1, column: 1}
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		if line, convErr := strconv.ParseInt(m[1], 10, 32); convErr == nil {
			pos.line = int32(line)
		}
	}
	d.report(pos, "write one YAML document with the field sections", "%v", err)
}

// Marshal encodes a document as YAML that ParseDocument can read.
func Marshal(doc Document) ([]byte, error) {
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(2)
	if err := enc.Encode(doc); err != nil {
		return nil, errors.Wrap(err, "encode the document")
	}
	return b.Bytes(), enc.Close()
}
