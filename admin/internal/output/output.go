// Package output prints results and errors as text or JSON.
package output

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"

	"chivepost/admin/internal/exits"
	"chivepost/share/inicfg"
)

// Format is the form of the output.
type Format string

// The forms of the output.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Result is what a command prints. Its JSON form is that of encoding/json.
type Result interface {
	// Text writes the result for people.
	Text(w io.Writer) error
}

// Print writes the result in the given form.
func Print(w io.Writer, format Format, result Result) error {
	if format == JSON {
		return encode(w, result)
	}
	return result.Text(w)
}

func encode(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// PrintError writes err in the given form. Problems in files have a line each in text
// and an entry each in JSON.
func PrintError(w io.Writer, format Format, err error) error {
	var files *inicfg.ProblemsError
	found := errors.As(err, &files)
	if format == JSON {
		body := struct {
			Code     exits.Name       `json:"code"`
			Error    string           `json:"error"`
			Problems []inicfg.Problem `json:"problems,omitempty"`
		}{Code: exits.NameOf(err), Error: err.Error()}
		if found {
			body.Problems = files.Problems()
			body.Error = number(body.Problems)
		}
		return encode(w, body)
	}
	if found {
		_, err := fmt.Fprintf(w, "%s\nchivectl: %s\n", files, number(files.Problems()))
		return err
	}
	_, err = fmt.Fprintf(w, "chivectl: %s\n", err)
	return err
}

func number(problems []inicfg.Problem) string {
	if len(problems) == 1 {
		return "1 problem"
	}
	return fmt.Sprintf("%d problems", len(problems))
}

// Table writes rows in aligned columns; the first row is the header.
func Table(w io.Writer, rows [][]string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(tw, "\t")
			}
			if cell == "" {
				cell = "-"
			}
			_, _ = fmt.Fprint(tw, cell)
		}
		_, _ = fmt.Fprintln(tw)
	}
	return tw.Flush()
}
