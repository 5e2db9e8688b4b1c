package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table holds rows of formatted cells under named columns, and the data series of a plot.
type Table struct {
	name    string
	title   string
	columns []string
	rows    [][]string
	series  []series
}

// series is one line of the plot.
type series struct {
	name   string
	points plotter.XYs
}

// Error reports a file that could not be written.
type Error struct {
	File  string
	Cause error
}

// Error returns the file's path and the cause.
func (e *Error) Error() string {
	return e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// New returns an empty Table; name is the name of its files without extension.
func New(name, title string, columns ...string) *Table {
	return &Table{name: name, title: title, columns: columns}
}

// Add appends a row of formatted cells.
func (t *Table) Add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// Point adds a point to the named series of the plot.
func (t *Table) Point(name string, x, y float64) {
	for i := range t.series {
		if t.series[i].name == name {
			t.series[i].points = append(t.series[i].points, plotter.XY{X: x, Y: y})
			return
		}
	}
	t.series = append(t.series, series{name: name, points: plotter.XYs{{X: x, Y: y}}})
}

// Print writes the table as aligned text.
func (t *Table) Print(w io.Writer) {
	fmt.Fprintln(w, t.title)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	printRow(tw, t.columns)
	for _, r := range t.rows {
		printRow(tw, r)
	}
	_ = tw.Flush()
	fmt.Fprintln(w)
}

func printRow(w io.Writer, cells []string) {
	for _, c := range cells {
		fmt.Fprintf(w, "%s\t", c)
	}
	fmt.Fprintln(w)
}

// Save writes the table as a CSV file and, if it has points, its plot as a PNG file to dir. xLabel and yLabel
// are the labels of the plot's axes. The error is a *Error.
func (t *Table) Save(dir, xLabel, yLabel string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return &Error{File: dir, Cause: err}
	}
	if err := t.saveCSV(filepath.Join(dir, t.name+".csv")); err != nil {
		return err
	}
	if len(t.series) == 0 {
		return nil
	}
	return t.savePlot(filepath.Join(dir, t.name+".png"), xLabel, yLabel)
}

func (t *Table) saveCSV(file string) error {
	f, err := os.Create(file)
	if err != nil {
		return &Error{File: file, Cause: err}
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	if err := w.WriteAll(append([][]string{t.columns}, t.rows...)); err != nil {
		return &Error{File: file, Cause: err}
	}
	return nil
}

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

func (t *Table) savePlot(file, xLabel, yLabel string) error {
	p := plot.New()
	p.Title.Text = t.title
	p.X.Label.Text, p.Y.Label.Text = xLabel, yLabel
	p.Legend.Top = false
	p.Legend.Left = true
	for i, s := range t.series {
		line, points, err := plotter.NewLinePoints(s.points)
		if err != nil {
			return &Error{File: file, Cause: err}
		}
		line.Color, points.Color = plotutil.Color(i), plotutil.Color(i)
		points.Shape = plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(s.name, line, points)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return &Error{File: file, Cause: err}
	}
	return nil
}

// Float formats v with the given number of decimals.
func Float(v float64, decimals int) string {
	return strconv.FormatFloat(v, 'f', decimals, 64)
}
