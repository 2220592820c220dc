/** Control methods of calls that a node serves for other nodes. */
export enum CallsControlMethod {
  SettleCall = "settleCall",
  SettleKey = "settleKey",
}
