/** The path of a measured call to its backend server. The values appear in the result files. */
export enum CallPath {
  /** To the backend server without the mesh; the baseline. */
  Direct = "direct",
  /** Through a plain node, which forwards the call to the backend server; a second baseline. */
  Plain = "plain",
  /** To the node beside the backend server. */
  OneHop = "one-hop",
  /** To another node, which forwards the call to the node beside the backend server. */
  TwoHops = "two-hops",
}
