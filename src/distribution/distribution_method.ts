/** The JSON-RPC methods of the distribution between nodes. */
export enum DistributionMethod {
  Exchange = "exchange",
  Reconcile = "reconcile",
  ReadManifest = "readManifest",
  ReadParts = "readParts",
  StoreVersion = "storeVersion",
}
