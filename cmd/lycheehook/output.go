package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
)

// The output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const tablePadding = 2

func checkOutput(form string) error {
	if form != outputTable && form != outputJSON {
		return merry.Prependf(errUsage, "--output %q is neither table nor json", form)
	}

	return nil
}

func writeJSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)

	return err
}

// table is rows of text with a header.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	_, _ = fmt.Fprintln(tw, strings.ToUpper(strings.Join(t.header, "\t")))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(tw, strings.Join(row, "\t"))
	}

	return tw.Flush()
}
