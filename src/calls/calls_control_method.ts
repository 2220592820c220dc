/** The control methods that a node answers for calls. */
export enum CallsControlMethod {
  SettleCall = "settleCall",
  SettleKey = "settleKey",
}
