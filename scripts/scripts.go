// Package scripts holds the tests that run the real programs as processes.
package scripts
