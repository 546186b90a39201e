// Package renderer renders the page about a day as one HTML file.
//
// The page has no script and loads nothing; its charts are inline SVG. All text of the
// log is escaped. It decides nothing: what is counted, and how much of it a page has, is up
// to package analyzer. A page is made for the bounds of an [analyzer.Day], whatever the
// size of the log.
//
// # Usage
//
//	day, err := analyzer.Summarize(file)
//	err = renderer.Render(w, day)
package renderer
