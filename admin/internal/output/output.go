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

// Format is the format of the output.
type Format string

// The formats of the output.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Result is the printable result of a command. As JSON it is encoded by encoding/json.
type Result interface {
	// Text writes the result as text for operators.
	Text(w io.Writer) error
}

// Print writes the result in the given format.
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

// PrintError writes err in the given format. Each problem in a file has its own line in text
// and its own element in JSON.
func PrintError(w io.Writer, format Format, err error) error {
	var problemsErr *inicfg.ProblemsError
	isProblems := errors.As(err, &problemsErr)
	if format == JSON {
		body := struct {
			Code     exits.Name       `json:"code"`
			Error    string           `json:"error"`
			Problems []inicfg.Problem `json:"problems,omitempty"`
		}{Code: exits.NameOf(err), Error: err.Error()}
		if isProblems {
			body.Problems = problemsErr.Problems()
			body.Error = problemCount(body.Problems)
		}
		return encode(w, body)
	}
	if isProblems {
		_, err := fmt.Fprintf(w, "%s\nchivectl: %s\n", problemsErr, problemCount(problemsErr.Problems()))
		return err
	}
	_, err = fmt.Fprintf(w, "chivectl: %s\n", err)
	return err
}

func problemCount(problems []inicfg.Problem) string {
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
