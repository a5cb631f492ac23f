// Package scripts holds test scripts that run the built programs as separate processes.
package scripts
