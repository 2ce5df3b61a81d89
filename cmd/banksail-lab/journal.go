package main

import (
	"errors"
	"os"

	"github.com/banksail/banksail/lab/history"
)

// withJournal calls use with a journal that writes to a new file at path, or with nil if path is
// empty. It flushes the journal and closes the file afterwards, and returns all errors.
func withJournal(path string, use func(*history.Journal) error) error {
	if path == "" {
		return use(nil)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	journal := history.NewJournal(file)
	return errors.Join(use(journal), journal.Flush(), file.Close())
}

// readJournals returns the entries of each journal file of a run.
func readJournals(paths []string) ([][]history.Entry, error) {
	var journals [][]history.Entry
	for _, path := range paths {
		entries, err := readJournal(path)
		if err != nil {
			return nil, err
		}
		journals = append(journals, entries)
	}
	return journals, nil
}

func readJournal(path string) ([]history.Entry, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	entries, err := history.ReadJournal(file)
	if err != nil {
		return nil, errors.Join(errors.New(path), err)
	}
	return entries, nil
}
