package linemast.duties

import linemast.cloud.CloudException

/** This controller is not the leader any more; whatever it wanted to do is for the next leader to decide. */
class LeadershipLostException(fencingToken: Long) : CloudException.NotPermitted("the term with fencing token $fencingToken has ended")

/** All slots hold open intents: no action can begin until one of them is closed. */
class IntentLogFullException : CloudException.NotPermitted("all slots hold open intents")
