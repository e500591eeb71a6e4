// Command measure runs the measurements of docs/.
package main

func main() {}
