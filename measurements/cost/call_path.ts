/** The way that a measured call takes. */
export enum CallPath {
  /** To the backend server without the mesh: the baseline. */
  Direct = "direct",
  /** Through the baseline node, which passes the call straight to the backend server. */
  Plain = "plain",
  /** To the node beside the backend server. */
  OneHop = "one-hop",
  /** To another node, which hands the call to the node beside the backend server. */
  TwoHops = "two-hops",
}
