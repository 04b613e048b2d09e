// Command nutmeghitchd runs one VM of the query tier.
package main

func main() {}
