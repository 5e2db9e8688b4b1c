// Package shed decides which requests are refused while there is more work than engines.
//
// It answers a load in which long prompts ask for more than the engines can process for seconds: without
// it they wait behind each other until their callers leave, and urgent prompts wait in the same batches.
package shed
