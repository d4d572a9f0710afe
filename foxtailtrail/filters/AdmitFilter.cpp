#include "foxtailtrail/filters/AdmitFilter.h"

namespace foxtail {

AdmitFilter::AdmitFilter(LimitGate& gate)
    : gate(gate)
{
}

Result<void> AdmitFilter::apply(RequestContext& context)
{
    return this->gate.admit(context.request.organisation, context.request.deadline);
}

}
