// Package table writes measurement results as text tables, CSV files and line plots.
package table
