// Command nutmeghitch is the tool for operators of the query tier.
package main

func main() {}
